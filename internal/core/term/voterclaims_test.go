package term

import (
	"testing"
	"time"
)

// TestVotedOutOwnerNamesAVoterAsSuccessor guards against another instance that no peer reaches, which
// claims the released term first: it names no witnesses, so that nobody votes against it.
func TestVotedOutOwnerNamesAVoterAsSuccessor(t *testing.T) {
	p := newVotePlay(t, 5, 6*time.Second)
	p.votes(4, 2, 5)
	p.runFor(time.Second)
	for _, e := range p.topic.entries {
		if e.record.Released && e.record.Successor == testWitness(2).Addr {
			return
		}
	}
	t.Errorf("no release for a voter; latest record %+v", p.topic.latest())
}
