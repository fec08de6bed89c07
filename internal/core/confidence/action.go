package confidence

import "time"

// Action is something that the caller of Step must do.
type Action interface{ action() }

// Check asks the owner of a term for an answer, and is followed by a Checked.
type Check struct {
	Term int64
	Addr string
}

// AskOthers asks other instances whether they answer this one, and whether the owner of a term answers
// them. It is followed by an OthersAsked.
type AskOthers struct {
	Term int64
	// Addrs are the other witnesses, Further some instances besides.
	Addrs, Further []string
}

// Vote votes against the owner of a term.
type Vote struct {
	Term int64
	// Unanswered is the number of instances that the owner does not answer: this one and those that have
	// said so.
	Unanswered int
}

// Changed says that the owner of a term has begun not to answer, or that it answers again.
type Changed struct {
	Term   int64
	Addr   string
	Silent bool
	// For is how long it has not answered, or had not.
	For time.Duration
}

func (Check) action()     {}
func (AskOthers) action() {}
func (Vote) action()      {}
func (Changed) action()   {}
