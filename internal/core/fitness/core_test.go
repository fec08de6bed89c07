package fitness

import (
	"testing"
	"time"
)

const tick = 250 * time.Millisecond

// judged is an owner's core with what it asked for.
type judged struct {
	core   *Core
	now    time.Duration
	probes []time.Duration
	own    Reached
	peers  []Peer
	// successor is the address in a Release, releasedAt its time.
	successor  string
	releasedAt time.Duration
}

func newJudged(handovers int64) *judged { return &judged{core: New(0, handovers)} }

// run observes for the given time; each probe is answered within a tick.
func (j *judged) run(d time.Duration, poor bool) {
	for end := j.now + d; j.now < end && j.successor == ""; j.now += tick {
		for _, a := range j.core.Step(j.now, Observed{Poor: poor}) {
			if _, ok := a.(Probe); ok {
				j.probes = append(j.probes, j.now)
				j.answer()
			}
		}
	}
}

func (j *judged) answer() {
	for _, a := range j.core.Step(j.now+tick/2, Probed{Own: j.own, Peers: j.peers}) {
		if r, ok := a.(Release); ok {
			j.successor, j.releasedAt = r.Successor, j.now
		}
	}
}

func firstN(n int) Reached { return Reached(1)<<n - 1 }

func TestTermMovesOnlyToAPeerThatClearlyReachesMore(t *testing.T) {
	cases := map[string]struct {
		own   Reached
		peers []Peer
		want  string
	}{
		"the owner reaches nothing, a peer all":                 {0, []Peer{{"a", firstN(16)}}, "a"},
		"the peer that reaches most":                            {0, []Peer{{"a", firstN(9)}, {"b", firstN(16)}, {"c", firstN(12)}}, "b"},
		"the first of equal ones":                               {0, []Peer{{"a", firstN(16)}, {"b", firstN(16)}}, "a"},
		"nobody reaches anything":                               {0, []Peer{{"a", 0}, {"b", 0}}, ""},
		"no peer answers":                                       {0, nil, ""},
		"each reaches its half":                                 {firstN(8), []Peer{{"a", firstN(16) &^ firstN(8)}}, ""},
		"a peer reaches a little more":                          {firstN(13), []Peer{{"a", firstN(16)}}, ""},
		"a peer reaches a quarter more":                         {firstN(12), []Peer{{"a", firstN(16)}}, "a"},
		"most workers are down, a peer reaches the others":      {0, []Peer{{"a", firstN(2)}}, "a"},
		"nobody reaches half":                                   {0, []Peer{{"a", firstN(4)}, {"b", firstN(6) << 4}, {"c", firstN(6) << 10}}, "b"},
		"the owner reaches all, and its workers were restarted": {firstN(16), []Peer{{"a", firstN(16)}}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j := newJudged(0)
			j.own, j.peers = c.own, c.peers
			j.run(time.Minute, true)
			if j.successor != c.want {
				t.Errorf("successor %q", j.successor)
			}
		})
	}
}

// TestTermDoesNotMoveForOneLostProbe guards against a change of owner because of single calls that
// were lost: with four workers one is a quarter.
func TestTermDoesNotMoveForOneLostProbe(t *testing.T) {
	j := newJudged(0)
	j.own, j.peers = firstN(3), []Peer{{"a", firstN(4)}}
	j.run(MinTenure(0)+tick, true)
	if len(j.probes) != 1 || j.successor != "" {
		t.Fatalf("%d probes, successor %q", len(j.probes), j.successor)
	}
	j.own = firstN(4)
	j.run(time.Minute, true)
	if j.successor != "" {
		t.Errorf("successor %q", j.successor)
	}
}

func TestProbesWithoutResultBecomeRare(t *testing.T) {
	j := newJudged(0)
	j.peers = []Peer{{"a", 0}}
	j.run(2*time.Minute, true)
	if n := len(j.probes); n < 5 || n > 12 {
		t.Errorf("%d probes in two minutes", n)
	}
	for n, at := range j.probes[1:] {
		if gap := at - j.probes[n]; gap < minInterval || gap > maxInterval+2*tick {
			t.Errorf("%v between two probes", gap)
		}
	}
}

func TestNoProbeWhileWorkersAnswer(t *testing.T) {
	j := newJudged(0)
	j.run(time.Minute, false)
	for range 100 {
		j.run(poorTime-tick, true)
		j.run(tick, false)
	}
	if len(j.probes) > 0 {
		t.Errorf("%d probes", len(j.probes))
	}
}

func TestLeastTenureGrowsWithReleases(t *testing.T) {
	for handovers, want := range map[int64]time.Duration{-1: 2 * time.Second, 0: 2 * time.Second, 1: 4 * time.Second, 3: 16 * time.Second, 4: 32 * time.Second, 1 << 60: 32 * time.Second} {
		j := newJudged(handovers)
		j.peers = []Peer{{"a", firstN(16)}}
		j.run(time.Minute, true)
		if j.successor != "a" || j.releasedAt < want || j.releasedAt > want+2*tick {
			t.Errorf("after %d releases: released for %q after %v", handovers, j.successor, j.releasedAt)
		}
	}
}

// TestTermThatCannotBeReleasedIsTriedAgain covers a release that the store did not take.
func TestTermThatCannotBeReleasedIsTriedAgain(t *testing.T) {
	j := newJudged(0)
	j.peers = []Peer{{"a", firstN(16)}}
	j.run(time.Minute, true)
	first := j.releasedAt
	j.successor = ""
	j.run(time.Minute, true)
	if j.successor != "a" || j.releasedAt-first > 2*minInterval {
		t.Errorf("again after %v, for %q", j.releasedAt-first, j.successor)
	}
}
