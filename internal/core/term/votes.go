package term

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/witness"
)

// voteValidity is how long a vote counts after it has been read.
const voteValidity = 10 * time.Second

// votes are the votes against the owner of one term.
type votes struct {
	term int64
	// silent holds when the latest vote of each voter was read that the owner does not answer.
	silent map[witness.ID]time.Duration
	// electorate are the witnesses that the record named when the first vote was read that still
	// counts. An owner replaces witnesses that do not answer it.
	electorate []Witness
	// yieldRequested says that a request to yield was read, yieldAt when the latest was.
	yieldRequested bool
	yieldAt        time.Duration
}

// onVotes records votes against the owner of the latest term that have not been read before, which
// ended at the given offset. Votes against other terms have no effect.
func (c *Core) onVotes(readTo int64, vs []Vote) {
	c.dropVotes()
	for _, v := range vs {
		if v.Term != c.latest.Term || v.Offset < readTo {
			continue
		}
		switch v.Reason {
		case VoteSilent:
			if len(c.votes.silent) == 0 {
				c.votes.electorate = c.latest.Witnesses
			}
			if c.votes.mayVote(c.latest.Witnesses, v.Voter) {
				c.votes.silent[v.Voter] = c.now
			}
		case VoteStronger:
			c.votes.yieldRequested, c.votes.yieldAt = true, c.now
		}
	}
}

// dropVotes drops the votes that no longer count.
func (c *Core) dropVotes() {
	v := &c.votes
	if v.term != c.latest.Term || v.silent == nil {
		*v = votes{term: c.latest.Term, silent: make(map[witness.ID]time.Duration)}
	}
	for voter, at := range v.silent {
		if c.now-at >= voteValidity {
			delete(v.silent, voter)
		}
	}
	v.yieldRequested = v.yieldRequested && c.now-v.yieldAt < voteValidity
}

// mayVote reports whether a voter is a witness, now or when the first vote was read.
func (v *votes) mayVote(now []Witness, voter witness.ID) bool {
	return contains(now, voter) || contains(v.electorate, voter)
}

// mostOf reports whether most of the given witnesses have voted.
func (v *votes) mostOf(ws []Witness) bool {
	n := 0
	for _, w := range ws {
		if _, ok := v.silent[w.ID]; ok {
			n++
		}
	}
	return 2*n > len(ws)
}

// VotedOut reports whether most witnesses of the latest term have voted against its owner.
func (c *Core) VotedOut() bool {
	v := &c.votes
	return v.term == c.latest.Term && len(v.silent) > 0 && (v.mostOf(c.latest.Witnesses) || v.mostOf(v.electorate))
}

// voter returns the address of a witness that has voted against the owner. It has found that most of the
// others answer it, which another instance that claims first may not be able to say.
func (c *Core) voter() string {
	for _, w := range slices.Concat(c.latest.Witnesses, c.votes.electorate) {
		if _, ok := c.votes.silent[w.ID]; ok {
			return w.Addr
		}
	}
	return ""
}

// followVotes releases the owned term if there are votes enough, or an instance on a stronger machine
// has requested it by the store.
func (c *Core) followVotes() {
	c.dropVotes()
	if c.ownedTerm == 0 || !c.storeOK {
		return
	}
	if c.VotedOut() && c.now-c.termSince >= c.LeastTenure() {
		c.releaseUnfit(ReasonVotedOut, c.voter())
		return
	}
	if c.votes.yieldRequested && c.settings.ClaimDelay >= minYieldDelay {
		c.yield(YieldRequested{Term: c.votes.term})
	}
}
