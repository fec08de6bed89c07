package worker_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/standin/fault"
	"coltsfootmux/internal/standin/worker"
)

func TestStartConditions(t *testing.T) {
	long := worker.Spec{RunMS: 60_000}
	for name, tc := range map[string]struct {
		before func(r *fixture)
		start  platform.Start
		want   error
		runs   int
	}{
		"a start with its grant runs": {
			start: startOf("a", long), runs: 1,
		},
		"the same start twice is one run": {
			before: func(r *fixture) { r.must(r.Start(r.ctx, startOf("a", long))) },
			start:  startOf("a", long), runs: 1,
		},
		"a repeated start of an ended task is no second run": {
			before: func(r *fixture) {
				r.must(r.Start(r.ctx, startOf("a", worker.Spec{})))
				r.advance(time.Second)
			},
			start: startOf("a", long), runs: 1,
		},
		"a repeated start succeeds although its epoch is stale by now": {
			before: func(r *fixture) {
				r.must(r.Start(r.ctx, startOf("a", long)))
				_, err := r.Fence(r.ctx, platform.Fence{Scope: cellScope, Epoch: epoch + 1})
				r.must(err)
			},
			start: startOf("a", long), runs: 1,
		},
		"an epoch below the highest one is stale": {
			before: func(r *fixture) {
				_, err := r.Fence(r.ctx, platform.Fence{Scope: cellScope, Epoch: epoch + 1})
				r.must(err)
			},
			start: startOf("a", long), want: platform.ErrStaleEpoch,
		},
		"a start without a lease is refused": {
			start: platform.Start{Lease: "a", Cell: cell, Epoch: epoch}, want: platform.ErrRefused,
		},
		"an expired lease is not started": {
			before: func(r *fixture) {
				r.must(r.Grant(r.ctx, grantOf("a")))
				r.advance(ttl)
			},
			start: startOf("a", long), want: platform.ErrRefused,
		},
		"a released lease id is barred": {
			before: func(r *fixture) { r.release("a", false) },
			start:  startOf("a", long), want: platform.ErrRefused,
		},
		"capacity must be free": {
			before: func(r *fixture) {
				for i := range 8 {
					r.must(r.Grant(r.ctx, grantOf(model.LeaseID(fmt.Sprint(i)))))
				}
			},
			start: startOf("a", long), want: platform.ErrRefused,
		},
		"a keyed start needs a hold": {
			start: keyedStartOf("a", epoch), want: platform.ErrRefused,
		},
		"a keyed start runs under the hold's epoch": {
			before: func(r *fixture) { r.hold(epoch, 0) },
			start:  keyedStartOf("a", epoch), runs: 1,
		},
		"a keyed start under a higher epoch than the hold's is refused": {
			before: func(r *fixture) { r.hold(epoch, 0) },
			start:  keyedStartOf("a", epoch+1), want: platform.ErrRefused,
		},
		"a keyed start under an expired hold is refused": {
			before: func(r *fixture) {
				r.hold(epoch, 0)
				r.advance(ttl)
			},
			start: keyedStartOf("a", epoch), want: platform.ErrRefused,
		},
		"a fence with a higher epoch invalidates the hold": {
			before: func(r *fixture) {
				r.hold(epoch, 0)
				_, err := r.Fence(r.ctx, platform.Fence{Scope: model.GroupScope(group), Epoch: epoch + 1})
				r.must(err)
			},
			start: keyedStartOf("a", epoch), want: platform.ErrStaleEpoch,
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, worker.Options{})
			if tc.before != nil {
				tc.before(r)
			}
			if err := r.Start(r.ctx, tc.start); !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
			if got := len(r.Runs()); got != tc.runs {
				t.Errorf("%d runs, want %d", got, tc.runs)
			}
		})
	}
}

func TestRefusedStartLeavesNoLease(t *testing.T) {
	r := newFixture(t, worker.Options{})
	if err := r.Start(r.ctx, keyedStartOf("a", epoch)); !errors.Is(err, platform.ErrRefused) {
		t.Fatal(err)
	}
	if rep := r.renew(); len(rep.Leases) != 0 {
		t.Fatalf("leases %v", rep.Leases)
	}
}

func TestTaskEndsAsPlanned(t *testing.T) {
	for name, tc := range map[string]struct {
		spec  worker.Spec
		fault worker.Fault
		act   func(r *fixture)
		want  platform.EndState
		ran   time.Duration
	}{
		"done after its run time":                {spec: worker.Spec{RunMS: 2000}, want: platform.EndDone, ran: 2 * time.Second},
		"failed when its spec says so":           {spec: worker.Spec{RunMS: 2000, Fail: true}, want: platform.EndFailed, ran: 2 * time.Second},
		"failed on a faulty worker":              {spec: worker.Spec{RunMS: 2000}, fault: worker.Fault{FailAll: true}, want: platform.EndFailed},
		"expired when not renewed":               {spec: worker.Spec{RunMS: 60_000}, want: platform.EndLapsed, ran: ttl},
		"stopped on request":                     {spec: worker.Spec{RunMS: 5000}, act: control(platform.VerbStop), want: platform.EndStopped, ran: time.Second},
		"checkpointed after the checkpoint time": {spec: worker.Spec{RunMS: 5000}, act: control(platform.VerbCheckpoint), want: platform.EndCheckpointed, ran: 1500 * time.Millisecond},
		"done later when throttled":              {spec: worker.Spec{RunMS: 4000}, act: control(platform.VerbThrottle), want: platform.EndDone, ran: 7 * time.Second},
		"done when its checkpoint hangs": {
			spec: worker.Spec{RunMS: 5000}, fault: worker.Fault{HangCheckpoints: true},
			act: control(platform.VerbCheckpoint), want: platform.EndDone, ran: 5 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, worker.Options{})
			r.SetFault(tc.fault)
			r.must(r.Start(r.ctx, startOf("a", tc.spec)))
			if tc.act != nil {
				r.advance(time.Second)
				tc.act(r)
			}
			r.advance(time.Minute)
			got, err := r.Wait(r.ctx, "a")
			r.must(err)
			if got.State != tc.want || got.Ran != tc.ran {
				t.Errorf("%s after %v, want %s after %v", got.State, got.Ran, tc.want, tc.ran)
			}
		})
	}
}

func control(v platform.Verb) func(r *fixture) {
	return func(r *fixture) {
		r.t.Helper()
		r.must(r.Control(r.ctx, platform.Control{Lease: "a", Cell: cell, Epoch: epoch, Verb: v}))
	}
}

func TestRenewalsKeepATaskRunning(t *testing.T) {
	r := newFixture(t, worker.Options{})
	r.must(r.Start(r.ctx, startOf("a", worker.Spec{RunMS: 30_000, AnswerBytes: 10})))
	for range 6 {
		r.advance(ttl - time.Second)
		r.renew()
	}
	ending, err := r.Wait(r.ctx, "a")
	r.must(err)
	if ending.State != platform.EndDone {
		t.Fatalf("ended %s", ending.State)
	}
}

func TestUsageIsReportedAfterTheLag(t *testing.T) {
	r := newFixture(t, worker.Options{UsageLag: 3 * time.Second})
	r.SetFault(worker.Fault{UsageFactor: 4, Leaving: true})
	r.must(r.Start(r.ctx, startOf("a", worker.Spec{RunMS: 60_000})))
	if rep := r.renew(); len(rep.Usage) != 0 || !rep.Leaving {
		t.Fatalf("at once: %+v", rep)
	}
	r.advance(3 * time.Second)
	rep := r.renew()
	if len(rep.Usage) != 1 || rep.Usage[0].Used != grantOf("a").Shape.Times(4) {
		t.Fatalf("after the lag: %+v", rep.Usage)
	}
	control(platform.VerbThrottle)(r)
	if rep := r.renew(); rep.Usage[0].Used != grantOf("a").Shape {
		t.Fatalf("throttled: %+v", rep.Usage)
	}
}

func TestFaultIncludesInterfaceFaults(t *testing.T) {
	r := newFixture(t, worker.Options{})
	want := worker.Fault{Fault: fault.Fault{Slow: time.Second}, FailAll: true}
	r.SetFault(want)
	if got := r.Fault(); got != want {
		t.Fatalf("got %+v", got)
	}
}
