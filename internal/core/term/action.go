package term

import "time"

// Action is what is to be done.
type Action interface{ action() }

// Write appends a record on the condition that the end is At.
type Write struct {
	Record Record
	At     int64
}

// Gained says that this life owns the term from now on.
type Gained struct{ Term int64 }

// Lost says that this life owns the term no more.
type Lost struct {
	Term   int64
	Reason Reason
}

// Proven says that nobody else owned a later term at At: the store confirmed a
// renewal that was sent then, or no peer could claim.
type Proven struct{ At time.Duration }

// AskPeers asks whether peers can reach the store.
type AskPeers struct{}

// AskYield asks the owner of a term to leave it to this instance.
type AskYield struct {
	Addr string
	Term int64
}

// Tell tells peers of a record that this life can't write.
type Tell struct{ Record Record }

func (AskYield) action() {}
func (Tell) action()     {}
func (Write) action()    {}
func (Gained) action()   {}
func (Lost) action()     {}
func (AskPeers) action() {}
func (Proven) action()   {}

// Reason says why a term was lost.
type Reason string

// The reasons for which a term is lost.
const (
	ReasonOther    Reason = "a higher term exists"
	ReasonUnproven Reason = "no renewal was confirmed in time"
	ReasonReleased Reason = "given up on leaving"
	ReasonYielded  Reason = "a stronger instance takes over"
	ReasonUnserved Reason = "the store turns this instance away and serves its peers"
)
