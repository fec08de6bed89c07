package gang

import "time"

// Bounds are the times that coordinators and participants agree on.
type Bounds struct {
	// HoldFor is how long a reservation is held for its start.
	HoldFor time.Duration
	// StartMargin is how much of a hold must be left when starts are sent.
	StartMargin time.Duration
	// AnswerWithin is how long an answer may take before a try is given up.
	AnswerWithin time.Duration
	// ConfirmWithin is how long members may run without word that the whole gang does.
	ConfirmWithin time.Duration
	// RetryLeast and RetryMost bound the pause between tries.
	RetryLeast time.Duration
	RetryMost  time.Duration
}

// StandardBounds are the bounds that schedulers run with.
func StandardBounds() Bounds {
	return Bounds{
		HoldFor:       2 * time.Second,
		StartMargin:   500 * time.Millisecond,
		AnswerWithin:  time.Second,
		ConfirmWithin: 5 * time.Second,
		RetryLeast:    20 * time.Millisecond,
		RetryMost:     2 * time.Second,
	}
}
