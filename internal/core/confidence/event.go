package confidence

import "time"

// Event is an input of Step.
type Event interface{ event() }

// Tick says that time has passed, and gives what is known of the term.
type Tick struct{ View View }

// Checked is the result of a Check.
type Checked struct {
	Term int64
	// SentAt is when the owner was asked.
	SentAt time.Duration
	// Answered says that it answered in time.
	Answered bool
}

// OthersAsked is the result of an AskOthers.
type OthersAsked struct {
	Term int64
	// Asked is the number of the other witnesses, Answered of those that answered.
	Asked, Answered int
	// FurtherAsked and FurtherAnswered are those of the further instances.
	FurtherAsked, FurtherAnswered int
	// Silent is the number of all that answered, and said that the owner does not answer them.
	Silent int
}

func (Tick) event()        {}
func (Checked) event()     {}
func (OthersAsked) event() {}
