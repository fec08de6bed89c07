package soak

import (
	"sync"
	"time"
)

// Bounds within which accepted work goes on.
const (
	// settleTime is how long after the end of the latest fault the machines have to recover.
	settleTime = 5 * time.Second
	// standBound is how long a job may then have nothing running, with room for a task whose
	// turn has come, and for how long a machine may tell no job's state.
	standBound = 3 * time.Second
)

// calm knows how long the machines have had no fault to recover from.
type calm struct {
	mu sync.Mutex
	// inForce counts the faults that have begun and not ended.
	inForce int
	// from is the beginning of the time that counts; bound is how long work may stand in it.
	from  time.Time
	bound time.Duration
	// harmed is the machine that a lasting fault concerns, if one is in force, and cut the same if the
	// fault stops it or cuts its paths.
	harmed, cut *machine
	// changedAt is when the latest fault began or ended.
	changedAt time.Time
}

// begin and end record that a fault begins or ends.
func (c *calm) begin() { c.change(1) }
func (c *calm) end()   { c.change(-1) }

func (c *calm) change(by int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inForce += by
	c.harmed, c.cut, c.changedAt = nil, nil, time.Now()
	c.from, c.bound = c.changedAt.Add(settleTime), standBound
}

// beginLasting records that a fault of one machine begins beside which work has to go on within
// its bound.
func (c *calm) beginLasting(harmed *machine, f lastingFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.harmed, c.from, c.bound = harmed, time.Now(), f.bound
	if !f.slow {
		c.cut = harmed
	}
}

// cutMachine returns the machine that a lasting fault stops or cuts off, or nil.
func (c *calm) cutMachine() *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

// isQuietSince reports whether no fault is in force, but one that lasts, and none began or ended since a time.
func (c *calm) isQuietSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce == 0 && c.changedAt.Before(t)
}

// isHarmed reports whether a lasting fault concerns the machine.
func (c *calm) isHarmed(m *machine) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.harmed == m
}

// allowance returns from when on standing work counts, and how long it may stand; false while
// faults are in force.
func (c *calm) allowance() (from time.Time, bound time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.from, c.bound, c.inForce == 0
}
