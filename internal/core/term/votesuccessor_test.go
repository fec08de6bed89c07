package term

import (
	"testing"
	"time"

	"coltsfootmux/internal/core/capacity"
)

// TestVotedOutOwnerNamesTheStrongestVoter guards against a term that goes from an overloaded owner to the
// weakest of its witnesses, as the first one by its address.
func TestVotedOutOwnerNamesTheStrongestVoter(t *testing.T) {
	p := newVotePlay(t, 5, 6*time.Second)
	for voter, rank := range map[int]capacity.Rank{1: 400, 2: 0, 3: capacity.Strongest, 4: 190} {
		v := Vote{Term: 1, Voter: idOf(voter), Reason: VoteSilent, Addr: p.all[voter].core.addr, Rank: rank}
		p.topic.entries = append(p.topic.entries, entry{vote: &v})
	}
	p.runFor(time.Second)
	if got := p.topic.latest(); got.Term != 2 || got.Owner != p.all[3].core.self {
		t.Errorf("then %+v", got)
	}
}
