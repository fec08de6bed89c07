package route

import (
	"time"

	"coltsfootmux/internal/model"
)

// Action is what the caller of Step must do next for a call.
type Action interface{ action() }

type (
	// Send sends the call to the scheduler at Addr. Epoch is the highest known
	// epoch of the key's group; 0 if none is known.
	Send struct {
		Addr  string
		Epoch model.Epoch
	}
	// Sleep waits for a time. The next event is SleepEnded or Expired.
	Sleep struct{ Duration time.Duration }
	// GiveUp ends the call without an answer from a scheduler.
	GiveUp struct {
		// Outcome is OutcomeNotRun or OutcomeUnknown.
		Outcome model.Outcome
		Reason  model.Reason
		// RetryAfter is how long the caller should wait before a retry; 0 if the
		// router sets no time.
		RetryAfter time.Duration
	}
	// Nothing means that there is nothing to do.
	Nothing struct{}
)

func (Send) action()    {}
func (Sleep) action()   {}
func (GiveUp) action()  {}
func (Nothing) action() {}
