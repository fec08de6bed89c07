package term

// handOver gives the term up to whichever peer claims the next one first. Load
// pattern: the store turns the owner away and serves the others, who take jobs in
// that the owner can't read; waiting until its record is stale costs them 0.7 s more.
// Nothing is ordered after the peers were told.
func (c *Core) handOver() {
	if c.owns == 0 || c.now-c.provenAt <= c.settings.QueryPeersAfter {
		return
	}
	r := c.record(c.owns, c.rec.Renewal+1)
	r.Released = true
	c.lose(ReasonCutOff)
	c.take(r)
	c.act(NotifyPeers{Record: r})
	c.nextWrite = c.now + c.settings.StaleAfter // leaves the peers time to claim
}
