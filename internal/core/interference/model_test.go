package interference

import (
	"fmt"
	"testing"
	"time"
)

const threshold = 1.25

// speeds are the cases in which a pool's workers may differ.
var speeds = []struct {
	name   string
	factor float64
	known  bool
}{{"equal workers", 1, false}, {"every second worker is half as fast, known", 2, true}, {"every second worker is half as fast, not known", 2, false}}

// Noise, load that goes up and down, and neighbours that prefer slow workers or a rack
// must not be taken for interference, whether the speeds are known or not.
func TestNoPairIsNamedWithoutInterference(t *testing.T) {
	for _, c := range speeds {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(100) {
				w, m := newWorld(seed, 12, c.factor), New(threshold)
				w.speedsKnown = c.known
				if changes := w.play(m, 600); len(changes) > 0 {
					t.Errorf("seed %d: %+v", seed, changes[0])
				}
			}
		})
	}
}

// A threshold on the evidence that is too strict would leave tasks side by side for long.
// Workers and waves take a part of the evidence, so that some seeds need more than 100 runs.
func TestPairIsFoundSoon(t *testing.T) {
	for _, c := range speeds {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			found := make(map[int]int)
			for seed := range uint64(100) {
				w, m := newWorld(seed, 12, c.factor), New(threshold)
				w.speedsKnown = c.known
				w.slowdowns["n2"] = 1.5
				for _, runs := range []int{108, 300} {
					for _, change := range w.play(m, runs-w.runs) {
						if change.Neighbour != "n2" {
							t.Errorf("seed %d: %+v", seed, change)
						}
					}
					found[runs] += len(m.Pairs())
				}
			}
			t.Logf("found by runs: %v", found)
			if found[108] < 50 || found[300] < 99 {
				t.Errorf("found in %d of 100 seeds after 108 runs, in %d after 300", found[108], found[300])
			}
		})
	}
}

func TestPairThatStopsInterferingIsForgotten(t *testing.T) {
	for seed := range uint64(10) {
		w, m := newWorld(seed, 12, 1), New(threshold)
		w.slowdowns["n2"] = 1.8
		w.play(m, 300)
		if len(m.Pairs()) != 1 || len(m.Conflicts("v")) != 1 || len(m.Conflicts("n2")) != 1 {
			t.Fatalf("seed %d: named %+v, want one pair", seed, m.Pairs())
		}
		clear(w.slowdowns)
		w.play(m, 480)
		if len(m.Pairs()) != 0 || len(m.Conflicts("v")) != 0 {
			t.Errorf("seed %d: named %+v after the end of the interference", seed, m.Pairs())
		}
	}
}

// Tasks that are kept apart give no new evidence. Without an end of the old one they would
// be kept apart for ever.
func TestPairIsForgottenWithoutNewEvidence(t *testing.T) {
	w, m := newWorld(1, 12, 1), New(threshold)
	w.slowdowns["n2"] = 1.8
	w.play(m, 300)
	if changes := m.Judge(w.now + memoryTime/4); len(changes) > 0 {
		t.Errorf("%+v while the evidence is still recent", changes)
	}
	const longestRun = 20 * time.Second // the last runs end after w.now
	changes := m.Judge(w.now + longestRun + memoryTime)
	if len(changes) != 1 || changes[0].Named || len(m.samples) != 0 {
		t.Errorf("changes %+v, want the pair forgotten", changes)
	}
}

// A neighbour that never leaves its worker can't be told from a slow worker.
func TestNeighbourBoundToSlowWorkersIsNotNamed(t *testing.T) {
	for seed := range uint64(20) {
		w, m := newWorld(seed, 12, 2), New(threshold)
		for _, s := range w.workers {
			s.shares["n0"] = -1
			if s.factor > 1 {
				s.shares["n0"] = 2
			}
		}
		if changes := w.play(m, 600); len(changes) > 0 {
			t.Errorf("seed %d: %+v", seed, changes)
		}
	}
}

// Everything that a busy time slows alike must not be blamed on who is there only then.
func TestBusyTimesAreNotTakenForInterference(t *testing.T) {
	for seed := range uint64(20) {
		w, m := newWorld(seed, 12, 1), New(threshold)
		for n := range 60 {
			runs := w.step()
			for i := range runs {
				runs[i].Present = Exposures{}
				if n%2 == 0 && i != n%12 {
					runs[i].Present["n0"] = 1
				}
				if n%2 == 0 {
					runs[i].End += runs[i].End - runs[i].Start
				}
			}
			for _, s := range Samples(fmt.Sprint(n), runs) {
				m.Observe("v", s)
			}
			if changes := m.Judge(w.now); len(changes) > 0 {
				t.Errorf("seed %d: %+v", seed, changes)
			}
		}
	}
}

func TestMemoryIsBounded(t *testing.T) {
	m := New(threshold)
	for n := range 3 * maxSamples {
		s := Sample{Worker: fmt.Sprint(n), Present: Exposures{fmt.Sprint(n % 100): 1}}
		m.Observe(fmt.Sprint(n%2), s)
		m.Observe(fmt.Sprint(n), Sample{At: -2 * memoryTime})
	}
	for range 2 * maxProfiles {
		m.Judge(0)
	}
	if len(m.samples) != 2 || len(m.samples["0"]) > maxSamples {
		t.Errorf("%d victims, %d samples of the first", len(m.samples), len(m.samples["0"]))
	}
}
