package commit

import "time"

// Result is what became of a try.
type Result int

// The results of a try.
const (
	// Done means that the record is durable.
	Done Result = iota
	// Refused means that nothing was written.
	Refused
	// Unclear means that it may have been written, or may be yet.
	Unclear
)

// Event is what a Core is told.
type Event interface{ event() }

// Answer is what became of a try.
type Answer struct {
	Try    int
	Result Result
}

// Told is the owner's answer to Ask, or that there was none.
type Told struct {
	// Known says that the owner has read the record from the store, or one that
	// says the same: it is durable.
	Known bool
	// StoreTime is how long the store takes to answer the owner; 0 if not known.
	StoreTime time.Duration
}

func (Answer) event() {}
func (Told) event()   {}

// Action is what is to be done.
type Action interface{ action() }

// Try makes a try over a route.
type Try struct {
	Try   int
	Route Route
}

// Ask asks the cell's owner whether it has read the record. The answer is Told,
// also when there is none.
type Ask struct{}

// End ends the record's way. No try's answer matters any more.
type End struct{ Result Result }

func (Try) action() {}
func (Ask) action() {}
func (End) action() {}
