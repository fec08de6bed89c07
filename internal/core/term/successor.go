package term

import "time"

// successorLead is how much later than a named successor other instances claim. Instances on weak
// machines read the term once a second.
const successorLead = 1200 * time.Millisecond

// Unfit says that a peer should own the term in place of this instance, which reaches fewer workers.
type Unfit struct {
	Term int64
	// Successor is the address of the peer.
	Successor string
}

func (Unfit) event() {}

// onUnfit releases the term. It needs a recent confirmation, as the release can't be written otherwise.
func (c *Core) onUnfit(e Unfit) {
	if c.ownedTerm == 0 || c.ownedTerm != e.Term || c.now-c.tenure.storedAt > c.settings.QueryPeersAfter {
		return
	}
	c.releaseUnfit(ReasonUnreached, e.Successor)
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
