package term

// handOver releases the term to whichever peer claims the next one first.
//
// Load pattern: the store refuses the owner but serves other instances, which accept
// jobs that the owner can't read. Waiting until the owner's record is stale would delay
// these jobs by another 0.7 s. The owner sends no orders after it has notified the peers.
func (c *Core) handOver() {
	if c.ownedTerm == 0 || c.now-c.tenure.storedAt <= c.settings.QueryPeersAfter {
		return
	}
	r := c.newRecord(c.ownedTerm, c.latest.Renewal+1)
	r.Released = true
	c.lose(ReasonCutOff)
	c.observe(r)
	c.emit(NotifyPeers{Record: r})
	c.nextWrite = c.now + c.settings.StaleAfter // gives the peers time to claim
}
