package term

import "time"

const (
	// minUnfitTenure is how long an owner has held its term before it releases it as unfit. It
	// doubles with each such release in a row, up to handoverMemory.
	minUnfitTenure = 5 * time.Second
	// handoverMemory is how long an owner has held its term when earlier releases are forgotten.
	handoverMemory = time.Minute
	// maxDoublings bounds the doublings of minUnfitTenure, which reach handoverMemory with it.
	maxDoublings = 4
	// minConfirmedTenure is how long an owner has held a term that it loses for want of a confirmation
	// for the loss not to count as one in a row.
	minConfirmedTenure = 5 * time.Second
	// unfitClaimDelay is how long an owner that has released its term as unfit leaves claims to others.
	unfitClaimDelay = 10 * time.Second
)

// LeastTenure returns how long the latest term has to last before its witnesses vote against its owner.
// It keeps instances of which each is unfit in a way from handing the term round.
func (c *Core) LeastTenure() time.Duration {
	return min(minUnfitTenure<<min(max(c.latest.Handovers, 0), maxDoublings), handoverMemory)
}

// handovers returns the number of Record.Handovers for the next record of this instance.
func (c *Core) handovers() int64 {
	if c.ownedTerm != 0 && c.now-c.termSince >= handoverMemory {
		return 0
	}
	return c.latest.Handovers
}

// releaseUnfit releases the term of an owner that can't do its work, for the instance at the address
// successor if that is not empty. This instance claims no other for a time.
func (c *Core) releaseUnfit(reason Reason, successor string) {
	r := c.newRecord(c.ownedTerm, c.latest.Renewal+1)
	r.Released, r.Successor, r.Handovers = true, successor, r.Handovers+1
	c.lose(reason)
	c.unfitUntil = c.now + unfitClaimDelay
	c.sendRelease(r)
}

// loseUnconfirmed ends a term that neither the store nor witnesses have confirmed in time.
//
// Load pattern: a process that is paused again and again wakes for a moment, finds its term over
// and claims the next one at once, as the latest record is its own. It never takes over the cell, and
// each claim renews the record that others wait for to get stale. So after the second short term in a row
// it leaves the next claim to others.
func (c *Core) loseUnconfirmed() {
	c.shortTerms++
	if c.now-c.termSince >= minConfirmedTenure {
		c.shortTerms = 0
	}
	if c.shortTerms > 1 {
		c.unfitUntil = max(c.unfitUntil, c.now+2*c.settings.StaleAfter)
	}
	c.lose(ReasonUnconfirmed)
}
