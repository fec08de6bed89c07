package faultrun

import (
	"os"
	"slices"
	"testing"
	"time"

	"coltsfootmux/internal/model"
)

// measureEnv, when set, runs the measurements at their full size.
const measureEnv = "COLTSFOOTMUX_MEASURE"

// takeoverBound is the stated bound from an owner's death to its key groups being
// served again: suspicion, the wait for old holds, and a second.
const takeoverBound = 1500*time.Millisecond + 3*time.Second + time.Second

func TestTakeoverWithinItsBound(t *testing.T) {
	var cells, groups []time.Duration
	for seed := range uint64(20) {
		s := New(Fleet{Hosts: 6, Workers: 24, Groups: 12, Regions: 1, Seed: seed})
		s.Run(10 * time.Second)
		h := s.hosts[int(seed)%len(s.hosts)]
		owned := h.owned()
		h.kill()
		from := s.now
		s.Run(10 * time.Second)
		for _, sc := range owned {
			d := s.takeovers([]model.Scope{sc}, from)
			if len(d) == 0 {
				t.Fatalf("seed %d: %s was not taken over", seed, sc)
			}
			if sc.Kind == model.ScopeCell {
				cells = append(cells, d[0])
			} else {
				groups = append(groups, d[0])
			}
		}
	}
	slices.Sort(cells)
	slices.Sort(groups)
	t.Logf("cells:  %d, median %s, longest %s", len(cells), cells[len(cells)/2], cells[len(cells)-1])
	t.Logf("groups: %d, median %s, longest %s", len(groups), groups[len(groups)/2], groups[len(groups)-1])
	if longest := groups[len(groups)-1]; longest > takeoverBound {
		t.Errorf("a key group was taken over after %s", longest)
	}
}

// TestKillEveryFewSeconds kills and replaces one host every 5 s under load.
func TestKillEveryFewSeconds(t *testing.T) {
	n := 1000
	if os.Getenv(measureEnv) != "" {
		n = 10_000
	}
	s := New(Fleet{Hosts: 6, Workers: 48, Groups: 12, Regions: 1, Seed: 5})
	s.Run(10 * time.Second)
	const each = 20 * time.Millisecond
	s.sendMany(n, each, false)
	for i := range int(time.Duration(n)*each/(5*time.Second)) + 1 {
		h := s.hosts[i%len(s.hosts)]
		h.kill()
		s.Run(2 * time.Second)
		h.start()
		s.Run(3 * time.Second)
	}
	s.Run(20 * time.Second)
	r := s.Report()
	t.Logf("%d requests, a kill every 5 s: done %d, not_run %d, unknown %d, lost %d, doubled %d, untrue %d, slowest %s, reasons %v",
		r.Requests, r.Done, r.NotRun, r.Unknown, r.Lost, r.Doubled, r.Untrue, r.Slowest, r.Reasons)
	if r.Lost+r.Doubled+r.Untrue+r.Crossed > 0 {
		t.Errorf("%+v", r)
	}
}

// TestMessagesPerScope measures what owning costs when nothing happens.
func TestMessagesPerScope(t *testing.T) {
	for _, groups := range []int{4, 16} {
		s := New(Fleet{Hosts: 4, Workers: 24, Groups: groups, Regions: 1, Seed: 1})
		s.Run(20 * time.Second)
		before := make(map[string]int)
		for k, v := range s.net.sent {
			before[k] = v
		}
		const secs = 10
		s.Run(secs * time.Second)
		for _, kind := range []string{"beat", "hold", "fence", "list"} {
			t.Logf("%d groups, 3 cells: %s messages a second: %d", groups, kind, (s.net.sent[kind]-before[kind])/secs)
		}
	}
}

// handOverBound is the stated bound from a drain to the successor's gain.
const handOverBound = time.Second

func TestHandOverWithinItsBound(t *testing.T) {
	var cells, groups []time.Duration
	for seed := range uint64(10) {
		s := New(Fleet{Hosts: 6, Workers: 24, Groups: 12, Regions: 2, Seed: seed})
		s.Run(10 * time.Second)
		h := s.hosts[int(seed)%len(s.hosts)]
		owned := h.owned()
		from := s.now
		h.drain()
		s.Run(5 * time.Second)
		for _, sc := range owned {
			d := s.takeovers([]model.Scope{sc}, from)
			if len(d) == 0 {
				t.Fatalf("seed %d: %s was not handed over", seed, sc)
			}
			if sc.Kind == model.ScopeCell {
				cells = append(cells, d[0])
			} else {
				groups = append(groups, d[0])
			}
		}
	}
	slices.Sort(cells)
	slices.Sort(groups)
	t.Logf("cells:  %d, median %s, longest %s", len(cells), cells[len(cells)/2], cells[len(cells)-1])
	t.Logf("groups: %d, median %s, longest %s", len(groups), groups[len(groups)/2], groups[len(groups)-1])
	if longest := max(cells[len(cells)-1], groups[len(groups)-1]); longest > handOverBound {
		t.Errorf("handed over after %s", longest)
	}
}
