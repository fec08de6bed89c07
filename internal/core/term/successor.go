package term

import "time"

const (
	// successorLead is how much later than a named successor other instances claim. Instances on
	// weak machines read the term once a second.
	successorLead = 1200 * time.Millisecond
	// verdictValidity is how long an owner that was found unfit waits for a stored renewal.
	verdictValidity = 3 * time.Second
)

// Unfit says that a peer should own the term in place of this instance, which reaches fewer workers.
type Unfit struct {
	Term int64
	// Successor is the address of the peer.
	Successor string
}

func (Unfit) event() {}

// verdict is an Unfit that holds until a time.
type verdict struct {
	Unfit
	until time.Duration
}

// onUnfit has the term released once that can be written.
func (c *Core) onUnfit(e Unfit) {
	c.verdict = verdict{Unfit: e, until: c.now + verdictValidity}
}

// followVerdict releases the term of an unfit owner. The store must have confirmed a renewal just now,
// or one that was sent lately: without it, the release could be as late as the store.
func (c *Core) followVerdict() {
	v := c.verdict
	if c.ownedTerm == 0 || c.ownedTerm != v.Term || c.now >= v.until {
		return
	}
	if c.tenure.confirmedNow(c.now) || c.now-c.tenure.storedAt <= c.settings.QueryPeersAfter {
		c.verdict = verdict{}
		c.releaseUnfit(ReasonUnreached, v.Successor)
	}
}

// releasedClaimWait returns how long the record of a released term must stay unchanged before a
// claim: the successor that it names comes first, and instances come last that its witnesses don't answer.
func (c *Core) releasedClaimWait() time.Duration {
	wait := c.claimDelay()
	switch {
	case !c.latest.Released:
		return wait
	case c.latest.Successor == c.addr:
		return 0
	case c.latest.Successor != "":
		wait += successorLead
	}
	if !c.released.sure() {
		wait += unreachedClaimDelay
	}
	return wait
}
