package route

import (
	"time"

	"coltsfootmux/internal/model"
)

// Action is the one thing to do next about a call.
type Action interface{ action() }

type (
	// Ask sends the call to the scheduler at an address, under the group's epoch
	// that was last heard of; 0 when none was.
	Ask struct {
		Addr  string
		Epoch model.Epoch
	}
	// Sleep waits before the next event, which is Woke or Expired.
	Sleep struct{ For time.Duration }
	// GiveUp ends the call without a scheduler's word.
	GiveUp struct {
		// Outcome is OutcomeNotRun or OutcomeUnknown.
		Outcome model.Outcome
		Reason  model.Reason
		// RetryAfter tells the caller when to come back.
		RetryAfter time.Duration
	}
	// Nothing says that there is nothing to do.
	Nothing struct{}
)

func (Ask) action()     {}
func (Sleep) action()   {}
func (GiveUp) action()  {}
func (Nothing) action() {}
