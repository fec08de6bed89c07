package cell

// drainsChanged keeps new runs off the workers of drained data centres, and allows them
// again on those of others. Runs there go on: to stop them would only throw their work
// away, as no time is set by which a drained data centre must be empty. Room that is
// kept there for waiting units is given up by the next pass, which then looks elsewhere.
func (c *Core) drainsChanged(dataCentres []string) {
	c.drained = make(map[string]bool)
	for _, d := range dataCentres {
		c.drained[d] = true
	}
	for _, w := range c.fleet {
		w.placeDrained = c.drained[w.Zone]
	}
	c.placementDue = true
}
