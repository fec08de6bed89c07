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

// machine drives a worker at random and checks its promises after each step.
type machine struct {
	rig *rig
	// fenced is the highest cell epoch that was sent successfully since a restart.
	fenced model.Epoch
	// forgotten counts the runs from before the last restart.
	forgotten int
	// barred holds leases that a release said had not started, since a restart.
	barred map[model.LeaseID]bool
	// held is the hold last given, and until when at the latest it may live.
	echo uint64
	till time.Time
}

func (m *machine) lease(t *rapid.T) model.LeaseID {
	return model.LeaseID(fmt.Sprint("l", rapid.IntRange(0, 9).Draw(t, "lease")))
}

func (m *machine) epoch(t *rapid.T) model.Epoch {
	return model.Epoch(rapid.IntRange(1, 4).Draw(t, "epoch"))
}

func (m *machine) start(t *rapid.T) {
	s := startOf(m.lease(t), worker.Spec{RunMS: rapid.Int64Range(0, 20_000).Draw(t, "run")})
	s.Epoch = m.epoch(t)
	s.Grant.Epoch = s.Epoch
	s.Grant.Shape.Slots = 1 + int(s.Lease[1]-'0')%3
	s.Keyed, s.Group, s.GroupEpoch = rapid.Bool().Draw(t, "keyed"), group, epoch
	before := len(m.rig.Runs())
	err := m.rig.Start(m.rig.ctx, s)
	began := len(m.rig.Runs()) > before
	switch {
	case began && err != nil:
		t.Fatalf("started, but said %v", err)
	case began && s.Epoch < m.fenced:
		t.Fatalf("started under epoch %d after %d", s.Epoch, m.fenced)
	case began && m.barred[s.Lease]:
		t.Fatalf("lease %s started after it was barred", s.Lease)
	case began && s.Keyed && !m.rig.now.Before(m.till):
		t.Fatalf("keyed start under a lapsed hold")
	case began:
		m.fenced = max(m.fenced, s.Epoch)
	}
}

func (m *machine) fence(t *rapid.T) {
	e := m.epoch(t)
	_, err := m.rig.Fence(m.rig.ctx, platform.Fence{Scope: cellScope, Epoch: e})
	if err == nil && e < m.fenced {
		t.Fatalf("epoch %d accepted after %d", e, m.fenced)
	}
	if err == nil {
		m.fenced = max(m.fenced, e)
	}
}

func (m *machine) release(t *rapid.T) {
	id := m.lease(t)
	out, err := m.rig.Release(m.rig.ctx, platform.Release{Lease: id, Scope: model.GroupScope(group), Epoch: epoch, OnlyUnstarted: true})
	if err == nil && !out.Started {
		m.barred[id] = true
	}
}

func (m *machine) hold(t *rapid.T) {
	echo := rapid.SampledFrom([]uint64{0, m.echo, m.echo - 1}).Draw(t, "echo")
	held, err := m.rig.Hold(m.rig.ctx, []platform.Hold{{Group: group, Epoch: epoch, TTL: ttl, Echo: echo}})
	if err != nil {
		t.Fatal(err)
	}
	if held[0].Refused {
		return
	}
	if echo != 0 && !m.rig.now.Before(m.till) {
		t.Fatalf("a renewal revived a hold that lapsed at %v", m.till)
	}
	if echo != 0 && echo != m.echo {
		t.Fatalf("renewed by the number %d, not by the last one %d", echo, m.echo)
	}
	m.echo, m.till = held[0].Echo, m.rig.now.Add(ttl)
}

func (m *machine) renew(t *rapid.T) {
	e := m.epoch(t)
	_, err := m.rig.Renew(m.rig.ctx, platform.Renew{Cell: cell, Epoch: e, TTL: ttl})
	if err == nil && e < m.fenced {
		t.Fatalf("renewed under epoch %d after %d", e, m.fenced)
	}
	if err == nil {
		m.fenced = max(m.fenced, e)
	}
}

func (m *machine) check(t *rapid.T) {
	perLease := make(map[model.LeaseID]int)
	running := 0
	for i, r := range m.rig.Runs() {
		if i >= m.forgotten {
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
	listing, err := m.rig.List(m.rig.ctx, cellScope)
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

func (m *machine) restart() {
	m.rig.Restart()
	m.forgotten = len(m.rig.Runs())
	m.fenced, m.barred, m.till = 0, make(map[model.LeaseID]bool), m.rig.now
}

func TestPromisesHoldUnderAnySequence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &machine{rig: newRig(t, worker.Options{}), barred: make(map[model.LeaseID]bool)}
		rt.Repeat(map[string]func(*rapid.T){
			"start":   m.start,
			"fence":   m.fence,
			"release": m.release,
			"hold":    m.hold,
			"renew":   m.renew,
			"pass": func(t *rapid.T) {
				m.rig.pass(time.Duration(rapid.IntRange(1, 12_000).Draw(t, "ms")) * time.Millisecond)
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
