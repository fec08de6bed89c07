package worker

import "coltsfootmux/internal/standin/fault"

// Fault says how a worker fails. The zero value is healthy.
type Fault struct {
	fault.Fault
	// FailAll makes every task that starts from now on fail at once.
	FailAll bool `json:"fail_all,omitempty"`
	// Leaving makes reports say that the worker will go away.
	Leaving bool `json:"leaving,omitempty"`
	// UsageFactor multiplies what tasks use of their declared size; 0 leaves it.
	UsageFactor int `json:"over_use,omitempty"`
	// HangCheckpoints makes checkpoints never end.
	HangCheckpoints bool `json:"hang_checkpoints,omitempty"`
}
