package term

import (
	"time"

	"coltsfootmux/internal/core/lag"
)

// minYieldDelay is the least claim delay of an owner at which a change of owner is worth
// its cost. It is a tenth of the longest claim delay.
const minYieldDelay = 100 * time.Millisecond

// yieldPatience is how many times its claim delay an instance waits longer than the strongest ones before
// it requests a term, so that the term moves once.
const yieldPatience = 5

// requestYield requests the term of an owner on a clearly weaker machine once it has held the
// term for MinTenure. An instance that may see the release late does not request it: the former owner may
// claim again by then. So it may if the term's witnesses don't answer this instance, which then claims
// late. A process that is itself late requests none. After releases by unfit owners none does: the stronger
// machine may be the one that was unfit.
func (c *Core) requestYield() {
	minTenure := c.settings.MinTenure
	if minTenure == 0 || c.stopping || c.ownedTerm != 0 || !c.storeOK || !c.allTopicsReachable || c.now < c.requests.next || lag.IsShort(c.lag) {
		return
	}
	if c.latest.Term == 0 || c.latest.Released || !c.outranks(c.latest) {
		return
	}
	if c.now-max(c.termSince, c.storeOKSince) < minTenure+yieldPatience*c.claimDelay() || c.latest.Handovers > 0 {
		return
	}
	if !c.isReachedForYield() {
		return
	}
	c.yieldReach = reach{} // to be found out again for the next request
	c.requests.next = c.now + minTenure
	c.emit(RequestYield{Addr: c.latest.Addr, Term: c.latest.Term})
}

// outranks reports whether this instance's machine is clearly stronger than the owner's. Owners whose rank
// is not known are compared by their claim delay, as by earlier versions.
func (c *Core) outranks(r Record) bool {
	if c.rank.Known() && r.Rank.Known() {
		return r.Rank.IsHalfOf(c.rank) && !c.MayReadLate()
	}
	return c.claimDelay() == 0 && r.ClaimDelay >= minYieldDelay
}

// yield releases the term to an instance on a stronger machine. It needs a recent
// confirmation, as the release can't be written otherwise. The requesting instance claims first, as
// others that are weaker may be quicker to read the release.
func (c *Core) yield(e YieldRequested) {
	if c.ownedTerm == 0 || c.ownedTerm != e.Term || c.now-c.termSince < c.settings.MinTenure || c.now-c.tenure.storedAt > c.settings.QueryPeersAfter {
		return
	}
	c.release(ReasonYielded, e.Addr)
	c.nextWrite = c.now + c.settings.StaleAfter // gives the requesting instance time to claim
}
