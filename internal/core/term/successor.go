package term

import "time"

const (
	// successorLead is how much later than a named successor other instances claim. Instances on
	// weak machines read the term once a second.
	successorLead = 1200 * time.Millisecond
	// unfitRest is how long an instance that has released its term as unfit claims none.
	unfitRest = 10 * time.Second
	// handoversKept is how long an owner keeps its term until earlier releases for want of fitness
	// no longer count.
	handoversKept = time.Minute
)

// Unfit says that a peer should own the term in place of this instance, which reaches fewer workers.
type Unfit struct {
	Term int64
	// Successor is the address of the peer.
	Successor string
}

func (Unfit) event() {}

// pendingRelease is a release that is not known to be stored.
type pendingRelease struct {
	record Record
	// until is when others claim the next term without it, nextWrite the earliest time of the next
	// attempt.
	until     time.Duration
	nextWrite time.Duration
}

// onUnfit releases the term. It needs a recent confirmation, as the release can't be written otherwise.
func (c *Core) onUnfit(e Unfit) {
	if c.ownedTerm == 0 || c.ownedTerm != e.Term || c.now-c.tenure.storedAt > c.settings.QueryPeersAfter {
		return
	}
	c.releaseUnfit(ReasonUnreached, e.Successor)
}

// releaseUnfit releases the term of an owner that can't do its work, for the instance at the address
// successor if that is not empty. This instance claims no other for a time.
func (c *Core) releaseUnfit(reason Reason, successor string) {
	r := c.newRecord(c.ownedTerm, c.latest.Renewal+1)
	r.Released, r.Successor, r.Handovers = true, successor, r.Handovers+1
	c.lose(reason)
	c.unfitUntil = c.now + unfitRest
	c.pendingRelease = &pendingRelease{record: r, until: c.now + c.settings.StaleAfter}
	c.writeRelease()
}

// writeRelease writes the release after the latest known record, which may be a renewal that was in
// flight.
func (c *Core) writeRelease() {
	p := c.pendingRelease
	p.record.Renewal = c.latest.Renewal + 1
	p.nextWrite = c.now + c.settings.RetryInterval
	c.pendingWrites++
	c.emit(Write{Record: p.record, ExpectedEnd: c.end})
}

// retryRelease writes a release again that was not stored.
func (c *Core) retryRelease() {
	p := c.pendingRelease
	switch {
	case p == nil:
	case c.latest.Released || c.latest.Term != p.record.Term || c.now >= p.until:
		c.pendingRelease = nil
	case c.pendingWrites == 0 && c.now >= p.nextWrite:
		c.writeRelease()
	}
}

// releasedClaimWait returns how long the record of a released term must stay unchanged before a
// claim: the successor that it names comes first.
func (c *Core) releasedClaimWait() time.Duration {
	switch {
	case !c.latest.Released || c.latest.Successor == "":
		return c.settings.ClaimDelay
	case c.latest.Successor == c.addr:
		return 0
	}
	return successorLead + c.settings.ClaimDelay
}

// handovers returns how often owners have released their terms as unfit without one of them having
// kept it for long since.
func (c *Core) handovers() int64 {
	if c.ownedTerm != 0 && c.now-c.termSince >= handoversKept {
		return 0
	}
	return c.latest.Handovers
}
