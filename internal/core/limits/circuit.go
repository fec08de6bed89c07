package limits

import (
	"math/rand/v2"
	"time"
)

// CircuitState is whether a target is used.
type CircuitState uint8

// The states.
const (
	// Closed means that the target is used.
	Closed CircuitState = iota
	// Broken means that the target is left alone until its next probe.
	Broken
	// Probing means that one probe is under way and nothing else is sent.
	Probing
)

// String names the state for logs and the API.
func (s CircuitState) String() string {
	switch s {
	case Broken:
		return "open"
	case Probing:
		return "half_open"
	}
	return "closed"
}

// CircuitOptions sets when a Circuit opens and when it probes.
type CircuitOptions struct {
	// Failures in a row open the circuit.
	Failures int
	// Probe spaces the probes of an open circuit.
	Probe Backoff
}

// Circuit keeps load off a target that fails, and probes it with single tries.
type Circuit struct {
	opts     CircuitOptions
	state    CircuitState
	failures int
	// trips counts the openings since the target last worked.
	trips int
	// probeAt is when an open circuit lets a probe through.
	probeAt time.Time
}

// NewCircuit makes a closed circuit.
func NewCircuit(o CircuitOptions) *Circuit { return &Circuit{opts: o} }

// State gives the state.
func (c *Circuit) State() CircuitState { return c.state }

// ProbeAt is when an open circuit lets its next probe through.
func (c *Circuit) ProbeAt() time.Time { return c.probeAt }

// Allow reports whether a try may go to the target now. Each true answer must be
// followed by Report or Forget. While a probe is under way no other try may go.
func (c *Circuit) Allow(now time.Time) bool {
	switch c.state {
	case Closed:
		return true
	case Broken:
		if now.Before(c.probeAt) {
			return false
		}
		c.state = Probing
		return true
	}
	return false
}

// Report notes how a try ended.
func (c *Circuit) Report(now time.Time, ok bool, r *rand.Rand) {
	if ok {
		c.state, c.failures, c.trips = Closed, 0, 0
		return
	}
	c.failures++
	if c.state == Probing || c.state == Closed && c.failures >= c.opts.Failures {
		c.trip(now, r)
	}
}

// Forget takes back a try that said nothing of the target, such as one that was
// cancelled. An open circuit may then probe again at once.
func (c *Circuit) Forget() {
	if c.state == Probing {
		c.state = Broken
	}
}

func (c *Circuit) trip(now time.Time, r *rand.Rand) {
	c.trips++
	c.state = Broken
	c.probeAt = now.Add(c.opts.Probe.Wait(c.trips, r))
}
