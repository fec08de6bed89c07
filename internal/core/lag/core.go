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
	// interval is the longest time between two observations of a process that is not late; 0 if they come
	// at no fixed times.
	interval time.Duration
	// observations are in the order of their times.
	observations []observation
}

// NewPeriodic returns the state of a process that observes its lag at least every interval. One that can't
// observe it for longer is late.
func NewPeriodic(interval time.Duration) Core { return Core{interval: interval} }

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
func (c *Core) Now(now time.Duration) time.Duration { return c.Since(now, now-recent) }

// Since returns by how much work that was due after the time from has been late at most until now. A time
// beyond the memory of some seconds counts as the earliest that is remembered.
func (c *Core) Since(now, from time.Duration) time.Duration {
	out := c.overdue(now)
	for _, o := range slices.Backward(c.observations) {
		if o.at < from {
			break
		}
		out = max(out, o.late)
	}
	return out
}

// overdue returns by how much the next observation is late.
//
// Load pattern: what observes the lag waits for the processor like all else. A process that is so late
// that it does not observe anything would seem to be in time.
func (c *Core) overdue(now time.Duration) time.Duration {
	if c.interval == 0 || len(c.observations) == 0 {
		return 0
	}
	return max(0, now-c.observations[len(c.observations)-1].at-c.interval)
}
