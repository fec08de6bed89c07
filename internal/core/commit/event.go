package commit

import "time"

// Result says what is known of an attempt or of the whole commit.
type Result int

// The results of an attempt.
const (
	// Done means that the record is durable.
	Done Result = iota
	// NotWritten means that nothing was written.
	NotWritten
	// OutcomeUnknown means that the record may have been written, or may still be.
	OutcomeUnknown
)

// Event is an input of Core.Step.
type Event interface{ event() }

// AttemptAnswer is the result of an attempt.
type AttemptAnswer struct {
	Attempt int
	Result  Result
}

// OwnerAnswer is the owner's answer to AskOwner. It is the zero value if there was none.
type OwnerAnswer struct {
	// IsRead says that the owner has read from the store this record or an equivalent one,
	// so that it is durable.
	IsRead bool
	// StoreTime is the owner's estimate of the store's response time; 0 if not known.
	StoreTime time.Duration
}

func (AttemptAnswer) event() {}
func (OwnerAnswer) event()   {}

// Action is something that the caller of Core must do.
type Action interface{ action() }

// StartAttempt starts an attempt over a route.
type StartAttempt struct {
	Attempt int
	Route   Route
}

// AskOwner asks the owner of the cell whether it has read the record. It is always
// followed by an OwnerAnswer, even if the owner does not answer.
type AskOwner struct{}

// Finish ends the commit. Answers to attempts that are still pending are ignored.
type Finish struct{ Result Result }

func (StartAttempt) action() {}
func (AskOwner) action()     {}
func (Finish) action()       {}
