package commit

import "time"

// Result is what became of a try.
type Result int

// The results of a try.
const (
	// Done means that the record is durable.
	Done Result = iota
	// NotWritten means that nothing was written.
	NotWritten
	// OutcomeUnknown means that it may have been written, or may be yet.
	OutcomeUnknown
)

// Event is what a Core is told.
type Event interface{ event() }

// AttemptAnswer is what became of a try.
type AttemptAnswer struct {
	Attempt int
	Result  Result
}

// OwnerAnswer is the owner's answer to Ask, or that there was none.
type OwnerAnswer struct {
	// Known says that the owner has read the record from the store, or one that
	// says the same: it is durable.
	Known bool
	// StoreTime is how long the store takes to answer the owner; 0 if not known.
	StoreTime time.Duration
}

func (AttemptAnswer) event() {}
func (OwnerAnswer) event()   {}

// Action is what is to be done.
type Action interface{ action() }

// StartAttempt makes a try over a route.
type StartAttempt struct {
	Attempt int
	Route   Route
}

// AskOwner asks the cell's owner whether it has read the record. The answer is Told,
// also when there is none.
type AskOwner struct{}

// Finish ends the record's way. No try's answer matters any more.
type Finish struct{ Result Result }

func (StartAttempt) action() {}
func (AskOwner) action()     {}
func (Finish) action()       {}
