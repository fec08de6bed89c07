package term

import (
	"testing"
	"time"
)

// TestLeastTenureStaysLongWhileOwnersAreVotedOut guards against instances of which each is unfit and that hand
// the term round ever faster again: a tenure of handoverMemory, which is the longest least tenure, forgets
// all releases before.
func TestLeastTenureStaysLongWhileOwnersAreVotedOut(t *testing.T) {
	p := newVotePlay(t, 5, time.Second)
	var tenures []time.Duration
	since, voted := time.Duration(0), int64(0)
	for term := int64(1); len(tenures) < 9 && p.now < 20*time.Minute; p.runFor(50 * time.Millisecond) {
		latest := p.topic.latest()
		if latest.Term != term && !latest.Released {
			tenures = append(tenures, p.now-since)
			term, since = latest.Term, p.now
		}
		for n, c := range p.all {
			if c.ownedTerm != term {
				continue
			}
			if len(latest.Witnesses) == 0 {
				c.step(p.now, WitnessesChecked{Term: term, Answered: append(p.witnesses(0, n), p.witnesses(n+1, 5-n)...)})
			}
			if p.now-since >= c.core.LeastTenure() && voted < term && len(latest.Witnesses) > 0 {
				voted = term
				for w := range 6 {
					if w != n {
						p.topic.vote(term, w, VoteSilent)
					}
				}
			}
		}
	}
	for n := range tenures {
		if n > 0 && tenures[n] < tenures[n-1]-time.Second {
			t.Fatalf("tenures %v", tenures)
		}
	}
	t.Logf("tenures %v", tenures)
}
