package term

import (
	"time"

	"coltsfootmux/internal/core/capacity"
)

// Ranked gives the rank of this instance's machine in the fleet.
type Ranked struct{ Rank capacity.Rank }

func (Ranked) event() {}

// claimDelay returns how much later than StaleAfter this instance claims a term.
func (c *Core) claimDelay() time.Duration {
	if c.rank.Known() {
		return c.rank.ClaimDelay()
	}
	return c.settings.ClaimDelay
}

// MayReadLate reports whether this instance need not see each renewal at once, as others claim before it.
func (c *Core) MayReadLate() bool {
	if c.rank.Known() {
		return c.rank.IsWeakest()
	}
	return c.settings.ClaimDelay > 0
}
