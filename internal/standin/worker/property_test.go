package worker_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/standin/worker"
)

// stateMachine calls a worker at random and checks its invariants after each step.
type stateMachine struct {
	fixture *fixture
	// highestEpoch is the highest cell epoch that the worker accepted since its last restart.
	highestEpoch model.Epoch
	// runsBeforeRestart is the number of runs before the last restart.
	runsBeforeRestart int
	// barred holds the leases that a release reported as not started, since the last restart.
	barred map[model.LeaseID]bool
	// echo is that of the latest hold, which expires at holdUntil.
	echo      uint64
	holdUntil time.Time
}

func (m *stateMachine) lease(t *rapid.T) model.LeaseID {
	return model.LeaseID(fmt.Sprint("l", rapid.IntRange(0, 9).Draw(t, "lease")))
}

func (m *stateMachine) epoch(t *rapid.T) model.Epoch {
	return model.Epoch(rapid.IntRange(1, 4).Draw(t, "epoch"))
}

func (m *stateMachine) start(t *rapid.T) {
	s := startOf(m.lease(t), worker.Spec{RunMS: rapid.Int64Range(0, 20_000).Draw(t, "run")})
	s.Epoch = m.epoch(t)
	s.Grant.Epoch = s.Epoch
	s.Grant.Shape.Slots = 1 + int(s.Lease[1]-'0')%3
	s.Keyed, s.Group, s.GroupEpoch = rapid.Bool().Draw(t, "keyed"), group, epoch
	before := len(m.fixture.Runs())
	err := m.fixture.Start(m.fixture.ctx, s)
	began := len(m.fixture.Runs()) > before
	switch {
	case began && err != nil:
		t.Fatalf("started, but returned %v", err)
	case began && s.Epoch < m.highestEpoch:
		t.Fatalf("started under epoch %d after %d", s.Epoch, m.highestEpoch)
	case began && m.barred[s.Lease]:
		t.Fatalf("lease %s started after it was barred", s.Lease)
	case began && s.Keyed && !m.fixture.now.Before(m.holdUntil):
		t.Fatalf("keyed start under an expired hold")
	case began:
		m.highestEpoch = max(m.highestEpoch, s.Epoch)
	}
}

func (m *stateMachine) fence(t *rapid.T) {
	e := m.epoch(t)
	_, err := m.fixture.Fence(m.fixture.ctx, platform.Fence{Scope: cellScope, Epoch: e})
	if err == nil && e < m.highestEpoch {
		t.Fatalf("epoch %d accepted after %d", e, m.highestEpoch)
	}
	if err == nil {
		m.highestEpoch = max(m.highestEpoch, e)
	}
}

func (m *stateMachine) release(t *rapid.T) {
	id := m.lease(t)
	out, err := m.fixture.Release(m.fixture.ctx, platform.Release{Lease: id, Scope: model.GroupScope(group), Epoch: epoch, OnlyUnstarted: true})
	if err == nil && !out.Started {
		m.barred[id] = true
	}
}

func (m *stateMachine) hold(t *rapid.T) {
	echo := rapid.SampledFrom([]uint64{0, m.echo, m.echo - 1}).Draw(t, "echo")
	held, err := m.fixture.Hold(m.fixture.ctx, []platform.Hold{{Group: group, Epoch: epoch, TTL: ttl, Echo: echo}})
	if err != nil {
		t.Fatal(err)
	}
	if held[0].Refused {
		return
	}
	if echo != 0 && !m.fixture.now.Before(m.holdUntil) {
		t.Fatalf("renewed a hold that expired at %v", m.holdUntil)
	}
	if echo != 0 && echo != m.echo {
		t.Fatalf("renewed with the echo %d instead of the latest one %d", echo, m.echo)
	}
	m.echo, m.holdUntil = held[0].Echo, m.fixture.now.Add(ttl)
}

func (m *stateMachine) renew(t *rapid.T) {
	e := m.epoch(t)
	_, err := m.fixture.Renew(m.fixture.ctx, platform.Renew{Cell: cell, Epoch: e, TTL: ttl})
	if err == nil && e < m.highestEpoch {
		t.Fatalf("renewed under epoch %d after %d", e, m.highestEpoch)
	}
	if err == nil {
		m.highestEpoch = max(m.highestEpoch, e)
	}
}

func (m *stateMachine) check(t *rapid.T) {
	perLease := make(map[model.LeaseID]int)
	running := 0
	for i, r := range m.fixture.Runs() {
		if i >= m.runsBeforeRestart {
			perLease[r.Lease]++
		}
		if r.Running() {
			running++
		}
	}
	for id, n := range perLease {
		if n > 1 {
			t.Fatalf("lease %s ran %d times", id, n)
		}
	}
	used := model.Shape{}
	listing, err := m.fixture.List(m.fixture.ctx, cellScope)
	if err != nil {
		t.Fatal(err)
	}
	started := 0
	for _, l := range listing.Leases {
		used = used.Add(l.Shape)
		if l.Started {
			started++
		}
	}
	if !used.Fits(capacity) || started != running {
		t.Fatalf("leases use %+v; %d started, %d run", used, started, running)
	}
}

func (m *stateMachine) restart() {
	m.fixture.Restart()
	m.runsBeforeRestart = len(m.fixture.Runs())
	m.highestEpoch, m.barred, m.holdUntil = 0, make(map[model.LeaseID]bool), m.fixture.now
}

func TestInvariantsHoldUnderAnySequence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &stateMachine{fixture: newFixture(t, worker.Options{}), barred: make(map[model.LeaseID]bool)}
		rt.Repeat(map[string]func(*rapid.T){
			"start":   m.start,
			"fence":   m.fence,
			"release": m.release,
			"hold":    m.hold,
			"renew":   m.renew,
			"pass": func(t *rapid.T) {
				m.fixture.advance(time.Duration(rapid.IntRange(1, 12_000).Draw(t, "ms")) * time.Millisecond)
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					m.restart()
				}
			},
			"": m.check,
		})
	})
}
