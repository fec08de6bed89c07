package term

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/core/witness"
)

// TestWitnessesThatHaveRestartedVoteAnOwnerOut guards against an owner that no peer reaches and that keeps its
// term for good once most of its witnesses have restarted: it can't name their later incarnations.
func TestWitnessesThatHaveRestartedVoteAnOwnerOut(t *testing.T) {
	p := newVotePlay(t, 5, 6*time.Second)
	for n := 1; n <= 3; n++ {
		restarted := witness.IDOf(fmt.Sprintf("node-%d/2", n))
		p.topic.entries = append(p.topic.entries, entry{vote: &Vote{Term: 1, Voter: restarted, Reason: VoteSilent}})
	}
	p.runFor(time.Second)
	if len(p.owner().lost) == 0 {
		t.Error("the owner keeps its term")
	}
}
