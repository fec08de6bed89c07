package term

// An owner that is on an island with its witnesses renews leases until KeepLimit, also after another
// instance has claimed the next term without their consent. That one's record says for how long, and
// so do its renewals and the claims that follow, until the time is over: each later owner waits for
// the leases on workers that it does not reach.

// newClaim returns a claim of the term that follows the latest one.
func (c *Core) newClaim() Record {
	r := c.newRecord(c.latest.Term+1, 0)
	if c.needsConsent() && !c.ownerHasEnded() {
		keeps := byAnyClock(c.settings.KeepLimit+c.settings.ConfirmTimeout) + earlierOwnerMargin
		r.EarlierOwners = max(r.EarlierOwners, c.changedAt+keeps-c.now)
	}
	return r
}

// observeEarlierOwners counts the time in a record from now on. Renewals of a term can only shorten it:
// each counts from when it was sent.
func (c *Core) observeEarlierOwners(r Record) {
	until := c.now + r.EarlierOwners
	if r.Term == c.latest.Term {
		until = min(until, c.earlierUntil)
	}
	c.earlierUntil = until
}
