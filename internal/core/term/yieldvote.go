package term

import (
	"time"

	"coltsfootmux/internal/core/witness"
)

// maxYieldVoteInterval bounds the time between two requests to yield by the store. It doubles from
// voteValidity.
const maxYieldVoteInterval = 5 * time.Minute

// yieldVotes are the requests to yield that this instance has made by the store.
type yieldVotes struct {
	term     int64
	next     time.Duration
	interval time.Duration
}

// requestYieldByVote requests a term by the store, as its owner has not answered the request over a
// link. Only witnesses do, so that the requests of a large fleet do not keep the owner from renewing
// its term, and only those that most of the other witnesses answer.
func (c *Core) requestYieldByVote(e YieldUnanswered) {
	if e.Term != c.latest.Term || c.latest.Released || c.ownedTerm != 0 || !c.storeOK || !c.isWitness() {
		return
	}
	c.dropVotes()
	y := &c.yieldVotes
	if y.term != e.Term {
		*y = yieldVotes{term: e.Term}
	}
	if c.votes.yieldRequested || c.now < y.next || 2*(e.Answered+1) <= e.Asked+1 {
		return
	}
	y.interval = min(max(2*y.interval, voteValidity), maxYieldVoteInterval)
	y.next = c.now + y.interval
	c.emit(WriteVote{Vote: Vote{Term: e.Term, Voter: witness.IDOf(c.self), Reason: VoteStronger, Addr: c.addr}})
}
