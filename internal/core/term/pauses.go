package term

import (
	"slices"
	"time"
)

const (
	// minPause is the least time between two events after which this process did not run. Ticks come
	// every 50 ms.
	minPause = 200 * time.Millisecond
	// minConfirmedTenure is how long an owner has held a term that it loses for want of a confirmation
	// for the loss not to count as one in a row.
	minConfirmedTenure = 5 * time.Second
)

// pause is a time in which this process did not run.
type pause struct{ from, to time.Duration }

// observePause records the time since the event before if this process was paused in it. Pauses of more
// than ConfirmTimeout ago are dropped.
func (c *Core) observePause(before time.Duration) {
	if c.ownedTerm == 0 {
		c.pauses = nil
		return
	}
	if c.now-before >= minPause {
		c.pauses = append(c.pauses, pause{before, c.now})
	}
	c.pauses = slices.DeleteFunc(c.pauses, func(p pause) bool { return p.to <= c.now-c.settings.ConfirmTimeout })
}

// wasPaused reports whether this process did not run for most of the last ConfirmTimeout.
func (c *Core) wasPaused() bool {
	var paused time.Duration
	for _, p := range c.pauses {
		paused += p.to - max(p.from, c.now-c.settings.ConfirmTimeout)
	}
	return 2*paused > c.settings.ConfirmTimeout
}

// loseUnconfirmed ends a term that neither the store nor witnesses have confirmed in time.
//
// Load pattern: a process that is paused again and again wakes for a moment, finds its term over
// and claims the next one at once, as the latest record is its own. It takes over the cell late or never,
// and each claim renews the record that others wait for to get stale. So if pauses have cost it the term, or
// after the second short term in a row, it leaves the next claim to others. An owner without witnesses knows
// of no others.
func (c *Core) loseUnconfirmed() {
	c.shortTerms++
	if c.now-c.termSince >= minConfirmedTenure {
		c.shortTerms = 0
	}
	if c.shortTerms > 1 || c.wasPaused() && len(c.latest.Witnesses) > 0 {
		c.pausedUntil = c.now + 2*c.settings.StaleAfter
	}
	c.lose(ReasonUnconfirmed)
}
