package worker

import "coltsfootmux/internal/standin/fault"

// Fault describes how a worker fails. The zero value is healthy.
type Fault struct {
	fault.Fault
	// FailAll makes every task that starts from now on fail at once.
	FailAll bool `json:"fail_all,omitempty"`
	// Leaving makes reports say that the worker is about to leave.
	Leaving bool `json:"leaving,omitempty"`
	// UsageFactor multiplies the resources that tasks use; 0 means no change.
	UsageFactor int `json:"over_use,omitempty"`
	// HangCheckpoints makes checkpoints never complete.
	HangCheckpoints bool `json:"hang_checkpoints,omitempty"`
}
