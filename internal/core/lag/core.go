package lag

import (
	"slices"
	"time"
)

// memory is how long an observation is kept; it is longer than any call of an owner takes.
const memory = 6 * time.Second

// recent is how long after it an observation counts as the present lag.
const recent = 250 * time.Millisecond

// observation says that work which was due before at ran late by up to late.
type observation struct{ at, late time.Duration }

// Core is what a process knows of its own lag.
type Core struct {
	// observations are in the order of their times.
	observations []observation
}

// Observe takes in that the work of the time up to now ran late by up to late.
func (c *Core) Observe(now, late time.Duration) {
	c.observations = append(c.observations, observation{now, max(0, late)})
	drop := 0
	for drop < len(c.observations) && c.observations[drop].at < now-memory {
		drop++
	}
	c.observations = slices.Delete(c.observations, 0, drop)
}

// Now returns how late the process runs its work at present.
func (c *Core) Now(now time.Duration) time.Duration { return c.Since(now - recent) }

// Since returns by how much work that was due after a time has been late at most. A time
// beyond the memory of some seconds counts as the earliest that is remembered.
func (c *Core) Since(from time.Duration) time.Duration {
	var out time.Duration
	for _, o := range slices.Backward(c.observations) {
		if o.at < from {
			break
		}
		out = max(out, o.late)
	}
	return out
}
