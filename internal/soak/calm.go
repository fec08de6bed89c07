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
	// harmed is the machine that a lasting fault concerns, if one is in force.
	harmed *machine
}

// begin and end record that a fault begins or ends.
func (c *calm) begin() { c.change(1) }
func (c *calm) end()   { c.change(-1) }

func (c *calm) change(by int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inForce += by
	c.harmed = nil
	c.from, c.bound = time.Now().Add(settleTime), standBound
}

// beginLasting records that a fault of one machine begins beside which work has to go on within
// a bound.
func (c *calm) beginLasting(harmed *machine, bound time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.harmed, c.from, c.bound = harmed, time.Now(), bound
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
