package worker_test

import (
	"errors"
	"testing"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/standin/worker"
)

func TestReleaseReportsWhetherTheTaskStarted(t *testing.T) {
	for name, tc := range map[string]struct {
		before        func(r *fixture)
		onlyUnstarted bool
		started       bool
		running       bool
		state         platform.EndState
	}{
		"of an unknown lease":                 {},
		"of a lease that was not started":     {before: func(r *fixture) { r.must(r.Grant(r.ctx, grantOf("a"))) }},
		"of a running task, which is stopped": {before: startLong, started: true, state: platform.EndStopped},
		"of a running task, which is left":    {before: startLong, onlyUnstarted: true, started: true, running: true},
		"of a task that ended": {
			before: func(r *fixture) { startLong(r); r.advance(5 * time.Second) }, onlyUnstarted: true, started: true, state: platform.EndDone,
		},
		"of a task whose ending was dropped": {
			before: func(r *fixture) { startLong(r); r.advance(11 * time.Minute) }, started: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, worker.Options{})
			if tc.before != nil {
				tc.before(r)
			}
			got := r.release("a", tc.onlyUnstarted)
			var state platform.EndState
			if got.Ending != nil {
				state = got.Ending.State
			}
			if got.Started != tc.started || got.Running != tc.running || state != tc.state {
				t.Errorf("got %+v ending %q", got, state)
			}
		})
	}
}

func startLong(r *fixture) { r.must(r.Start(r.ctx, startOf("a", worker.Spec{RunMS: 5000}))) }

func TestReleaseReportsHowLongBarsAreKept(t *testing.T) {
	r := newFixture(t, worker.Options{BarRetention: time.Hour})
	startLong(r)
	r.advance(time.Minute)
	before := r.release("x", true)
	if before.Since != time.Minute {
		t.Errorf("since %v", before.Since)
	}
	r.Restart()
	r.advance(2 * time.Second)
	after := r.release("a", true)
	if after.Started || after.Since != 2*time.Second || after.Incarnation == before.Incarnation {
		t.Errorf("after a restart: %+v", after)
	}
	r.advance(3 * time.Hour)
	if got := r.release("x", true); got.Since != time.Hour {
		t.Errorf("since %v, but bars are kept for an hour", got.Since)
	}
}

func TestReleaseByTheKeyGroupsOwner(t *testing.T) {
	for name, tc := range map[string]struct {
		group model.GroupID
		want  error
	}{
		"another group's": {group + 1, platform.ErrRefused},
		"its own group's": {group, nil},
	} {
		r := newFixture(t, worker.Options{})
		startLong(r)
		_, err := r.Release(r.ctx, platform.Release{Lease: "a", Scope: model.GroupScope(tc.group), Epoch: 1})
		if !errors.Is(err, tc.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestReleaseFreesCapacity(t *testing.T) {
	r := newFixture(t, worker.Options{})
	whole := grantOf("a")
	whole.Shape = capacity
	r.must(r.Grant(r.ctx, whole))
	other := grantOf("b")
	if err := r.Grant(r.ctx, other); !errors.Is(err, platform.ErrRefused) {
		t.Fatal(err)
	}
	r.release("a", false)
	r.must(r.Grant(r.ctx, other))
}
