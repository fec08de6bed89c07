package term

import "time"

const (
	// minUnfitTenure is how long an owner has held its term before it releases it as unfit. It
	// doubles with each such release in a row, up to handoverMemory.
	minUnfitTenure = 5 * time.Second
	// handoverMemory is the part of its term after each of which an owner forgets an earlier release.
	handoverMemory = time.Minute
	// maxHandovers bounds the number of releases that are remembered, and so the doublings of
	// minUnfitTenure, which reach handoverMemory with it.
	maxHandovers = 4
	// unfitClaimDelay is how long an owner that has released its term as unfit leaves the next claim to
	// others.
	unfitClaimDelay = 10 * time.Second
)

// LeastTenure returns how long the latest term has to last before its witnesses vote against its owner.
// It keeps instances of which each is unfit in a way from handing the term round.
func (c *Core) LeastTenure() time.Duration {
	return min(minUnfitTenure<<min(max(c.latest.Handovers, 0), maxHandovers), handoverMemory)
}

// handovers returns the number of Record.Handovers for the next record of this instance.
func (c *Core) handovers() int64 {
	if c.ownedTerm == 0 {
		return c.latest.Handovers
	}
	return max(0, c.tenure.handovers-int64((c.now-c.termSince)/handoverMemory))
}

// releaseUnfit releases the term of an owner that can't do its work, for the instance at the address
// successor if that is not empty. For a time this instance does not claim the next one.
func (c *Core) releaseUnfit(reason Reason, successor string) {
	r := c.newRecord(c.ownedTerm, c.latest.Renewal+1)
	r.Released, r.Successor, r.Handovers = true, successor, min(r.Handovers+1, maxHandovers)
	c.lose(reason)
	c.unfitUntil = c.now + unfitClaimDelay
	c.sendRelease(r)
}

// mayClaimAgain reports whether this instance may claim a term, as far as it depends on how its own
// latest one ended.
func (c *Core) mayClaimAgain() bool {
	return c.now >= c.pausedUntil && (c.now >= c.unfitUntil || c.latest.Owner != c.self)
}
