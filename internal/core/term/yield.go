package term

import "time"

// yieldMargin is the least delay of an owner for which a change is worth its cost:
// a tenth of the longest.
const yieldMargin = 100 * time.Millisecond

// askYield asks for the term of an owner on a weaker machine, once it is in
// place. Only machines without a delay ask: others would not see the release
// before the owner itself may claim again.
func (c *Core) askYield() {
	settle := c.settings.MinTenure
	if settle == 0 || c.leaving || c.owns != 0 || !c.ok || !c.whole || c.now < c.nextYield {
		return
	}
	if c.rec.Term == 0 || c.rec.Released || c.settings.ClaimDelay != 0 || c.rec.ClaimDelay < yieldMargin {
		return
	}
	if c.now-max(c.since, c.okSince) < settle {
		return
	}
	c.nextYield = c.now + settle
	c.act(RequestYield{Addr: c.rec.Addr, Term: c.rec.Term})
}

// yieldTo leaves the term to a stronger instance, as on leaving. Without a
// recent proof the release could not be written.
func (c *Core) yieldTo(e YieldRequested) {
	if c.owns == 0 || c.owns != e.Term || c.now-c.since < c.settings.MinTenure || c.now-c.provenAt > c.settings.QueryPeersAfter {
		return
	}
	c.release(ReasonYielded)
	c.nextWrite = c.now + c.settings.StaleAfter // leaves the asker time to claim
}
