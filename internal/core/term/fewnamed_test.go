package term

import (
	"testing"
	"time"
)

// TestOwnerThatNamesItsOnlyPeerIsVotedOut guards against an owner that one instance of several reaches: it
// names that one alone as its witness, which has nothing against it.
func TestOwnerThatNamesItsOnlyPeerIsVotedOut(t *testing.T) {
	p := newUnnamedPlay(t, 5, time.Second)
	p.owner().step(p.now, WitnessesChecked{Term: 1, Answered: p.witnesses(5, 1)})
	p.runFor(6 * time.Second)
	if r := p.topic.latest(); len(r.Witnesses) != 1 || !p.all[1].core.JudgesFewNamed() || p.all[5].core.JudgesFewNamed() {
		t.Fatalf("witnesses %v; instance 1 judges: %v; the witness does: %v", r.Witnesses, p.all[1].core.JudgesFewNamed(), p.all[5].core.JudgesFewNamed())
	}
	checkVotesNeeded(t, p, 3)
}

// TestOwnerOfOneHalfKeepsItsTerm guards against halves of a split network that vote out each other's owner.
func TestOwnerOfOneHalfKeepsItsTerm(t *testing.T) {
	p := newUnnamedPlay(t, 6, time.Second)
	p.owner().step(p.now, WitnessesChecked{Term: 1, Answered: p.witnesses(5, 2)})
	p.runFor(6 * time.Second)
	checkVotesNeeded(t, p, 4)
}

// checkVotesNeeded has instances 1, 2, ... vote, and fails if the owner is not voted out by just so many.
func checkVotesNeeded(t *testing.T, p *votePlay, needed int) {
	t.Helper()
	for n := 1; n <= needed; n++ {
		if p.owner().ownedTerm != 1 {
			t.Fatalf("voted out by %d instances", n-1)
		}
		p.votes(n)
		p.runFor(time.Second)
	}
	if p.owner().ownedTerm != 0 {
		t.Errorf("not voted out by %d instances", needed)
	}
}
