package term

import (
	"time"

	"coltsfootmux/internal/core/witness"
)

// answersSettle is how long the number of instances that answer an owner has to stay the same to count: a
// check first asks the present witnesses, and others after that.
const answersSettle = time.Second

// outnumbered reports whether more instances get no answer from this owner than answer it. If most of its
// witnesses are cut off as well, no majority of them can vote. One vote is enough then: it says how many
// instances the voter reaches that the owner does not answer, and the owner has checked since who answers
// it. Whoever follows is on the larger side, so the term can't go round.
func (c *Core) outnumbered() bool {
	t := &c.tenure
	if t.answered >= witness.MaxWitnesses {
		return false // there may be more
	}
	for voter, n := range c.votes.unanswered {
		at, counts := c.votes.silent[voter]
		if counts && n > 1+t.answered && t.checkedAt > at && c.now-max(at, t.answeredSince) >= answersSettle {
			return true
		}
	}
	return false
}
