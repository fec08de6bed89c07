package gang

import (
	"time"

	"coltsfootmux/internal/model"
)

// Event is what can happen to a Coordinator or a Participant.
type Event interface{ event() }

// Form asks a coordinator to start a gang.
type Form struct {
	Key   model.Key
	Epoch model.Epoch
	Parts []Part
	Shape model.Shape
	// Idempotent gangs may be tried again after some member has started.
	Idempotent bool
	// Until is when the coordinator gives up.
	Until time.Time
}

// Part is a gang's share in one cell.
type Part struct {
	Cell    model.CellID
	Members int
}

// Received brings a message from a cell or, at a participant, from a coordinator
// or a peer. Rand is a random number for jitter.
type Received struct {
	From    model.CellID
	Message Message
	Rand    uint64
}

// Withdraw asks a coordinator to stop a gang.
type Withdraw struct{ Key model.Key }

// Taken answers a participant's Take.
type Taken struct {
	ID ID
	OK bool
}

// Began answers a participant's Begin.
type Began struct {
	ID ID
	OK bool
}

// MemberEnded tells a participant that a member came to its end.
type MemberEnded struct {
	ID     ID
	Failed bool
}

// Tick lets time-bound decisions happen. Rand is a random number for jitter.
type Tick struct{ Rand uint64 }

func (Form) event()        {}
func (Received) event()    {}
func (Withdraw) event()    {}
func (Taken) event()       {}
func (Began) event()       {}
func (MemberEnded) event() {}
func (Tick) event()        {}
