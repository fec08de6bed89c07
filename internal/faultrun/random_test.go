package faultrun

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "coltsfootmux/internal/testseed"
)

// schedules is how many random schedules one run of the tests tries.
const schedules = "40"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", schedules)
	}
	m.Run()
}

// fault does one thing to a run.
type fault struct {
	name string
	do   func(s *Sim, t *rapid.T)
}

func (s *Sim) anyHost(t *rapid.T) *host {
	return s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
}

func span(t *rapid.T) time.Duration {
	return time.Duration(rapid.IntRange(100, 8000).Draw(t, "milliseconds")) * time.Millisecond
}

var randomFaults = []fault{
	{"kill", func(s *Sim, t *rapid.T) { s.anyHost(t).kill() }},
	{"replace", func(s *Sim, t *rapid.T) { s.anyHost(t).start() }},
	{"drain", func(s *Sim, t *rapid.T) { s.anyHost(t).drain() }},
	{"pause", func(s *Sim, t *rapid.T) { s.anyHost(t).paused = s.now.Add(span(t)) }},
	{"log down", func(s *Sim, t *rapid.T) { s.log.down = s.now.Add(span(t)) }},
	{"log lost", func(s *Sim, _ *rapid.T) { s.log.lost = 0.3 }},
	{"cut", func(s *Sim, t *rapid.T) { s.net.cut["b"] = s.now.Add(span(t)) }},
	{"lose", func(s *Sim, _ *rapid.T) { s.net.faults.Lost = 0.05 }},
	{"double", func(s *Sim, _ *rapid.T) { s.net.faults.Doubled = 0.1 }},
	{"slow", func(s *Sim, _ *rapid.T) { s.net.faults.Slow = 0.05 }},
	{"restart worker", func(s *Sim, t *rapid.T) {
		s.machines[rapid.IntRange(0, len(s.machines)-1).Draw(t, "worker")].w.Restart()
	}},
	{"restart half", func(s *Sim, t *rapid.T) {
		odd := rapid.IntRange(0, 1).Draw(t, "odd")
		for i, m := range s.machines {
			if i%2 == odd {
				m.w.Restart()
			}
		}
	}},
	{"kill worker", func(s *Sim, t *rapid.T) {
		m := s.machines[rapid.IntRange(0, len(s.machines)-1).Draw(t, "worker")]
		m.w.Restart()
		m.dead = true
	}},
	{"repeat", func(s *Sim, _ *rapid.T) {
		for i, r := range s.requests {
			if i%3 == 0 && !r.repeat {
				s.entries[(i+1)%len(s.entries)].submit(r.work, true)
			}
		}
	}},
	{"cancel", func(s *Sim, _ *rapid.T) {
		for i, r := range s.requests {
			if i%5 == 0 && r.result == nil {
				s.cancel(r)
			}
		}
	}},
}

// TestRandomFaults checks that whatever fails, no reservation is doubled, every
// caller is answered, and no answer is untrue.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Fleet{Hosts: 4, Workers: 16, Groups: 3, Regions: 2, Seed: rapid.Uint64().Draw(t, "seed")})
		s.Run(8 * time.Second)
		s.sendMany(60, 200*time.Millisecond, false)
		s.sendMany(30, 400*time.Millisecond, true)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			f := rapid.SampledFrom(randomFaults).Draw(t, "fault")
			t.Log(s.now.Format("05.000"), f.name)
			f.do(s, t)
			s.Run(span(t) / 3)
			if n := s.startableTwice(); n > 0 {
				t.Fatalf("%d key groups may be started by two hosts", n)
			}
		}
		s.Run(40 * time.Second)
		r := s.Report()
		if r.Doubled+r.Untrue+r.Crossed+r.Lost > 0 || s.startedAfterCancel() > 0 {
			t.Fatalf("%+v, started after cancel %d", r, s.startedAfterCancel())
		}
	})
}

// TestSameSeedSameRun checks that a run is fixed by its seed.
func TestSameSeedSameRun(t *testing.T) {
	once := func() string {
		s := New(Fleet{Hosts: 3, Workers: 16, Groups: 4, Regions: 2, Seed: 7})
		s.net.faults = Faults{Lost: 0.01, Doubled: 0.02, Slow: 0.01}
		s.Run(8 * time.Second)
		s.sendMany(50, 50*time.Millisecond, false)
		s.host("h1").kill()
		s.Run(20 * time.Second)
		return fmt.Sprintf("%+v %v %d", s.Report(), s.net.sent, len(s.log.claims))
	}
	if a, b := once(), once(); a != b {
		t.Errorf("two runs of one seed differ:\n%s\n%s", a, b)
	}
}
