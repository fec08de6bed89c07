package term

import "time"

// pendingRelease is a release that is not known to be stored.
type pendingRelease struct {
	record Record
	// expectedEnd is the condition of the latest attempt.
	expectedEnd int64
	// until is when others claim the next term without it, nextWrite the earliest time of the next
	// attempt if nothing more is read.
	until     time.Duration
	nextWrite time.Duration
}

// sendRelease writes the release of a term that this instance no longer owns.
func (c *Core) sendRelease(r Record) {
	c.pendingRelease = &pendingRelease{record: r, until: c.now + c.settings.StaleAfter}
	c.writeRelease()
}

// writeRelease writes the release after the latest known record, which may be a renewal that was in
// flight.
func (c *Core) writeRelease() {
	p := c.pendingRelease
	p.record.Renewal = c.latest.Renewal + 1
	p.expectedEnd, p.nextWrite = c.end, c.now+c.settings.RetryInterval
	c.pendingWrites++
	c.emit(Write{Record: p.record, ExpectedEnd: c.end})
}

// retryRelease writes a release again that was not stored: at once if it was barred by a record that
// has been read since.
func (c *Core) retryRelease() {
	p := c.pendingRelease
	switch {
	case p == nil:
	case c.latest.Released || c.latest.Term != p.record.Term || c.now >= p.until:
		c.pendingRelease = nil
	case c.end > p.expectedEnd || c.pendingWrites == 0 && c.now >= p.nextWrite:
		c.writeRelease()
	}
}
