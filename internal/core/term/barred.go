package term

import "coltsfootmux/internal/core/witness"

// onConflict handles a write that was barred by a record that had not been read.
func (c *Core) onConflict() {
	c.nextWrite = c.now + c.settings.RetryInterval
	c.repeatBarredRenewal()
}

// repeatBarredRenewal has a renewal that a vote has barred repeated once the vote has been read. Any
// attempt on the condition of an earlier end has failed.
func (c *Core) repeatBarredRenewal() {
	next := witness.Position{Term: c.ownedTerm, Renewal: c.latest.Renewal + 1}
	if c.ownedTerm != 0 && c.attempts.record == next && c.attempts.end < c.end {
		c.nextWrite = min(c.nextWrite, c.now)
	}
}
