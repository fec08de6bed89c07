package term

import "time"

// Action is what is to be done.
type Action interface{ action() }

// Write appends a record on the condition that the end is At.
type Write struct {
	Record      Record
	ExpectedEnd int64
}

// Gained says that this life owns the term from now on.
type Gained struct{ Term int64 }

// Lost says that this life owns the term no more.
type Lost struct {
	Term   int64
	Reason Reason
}

// Confirmed says that nobody else owned a later term at At: the store confirmed a
// renewal that was sent then, or no peer could claim.
type Confirmed struct{ At time.Duration }

// QueryPeers asks whether peers can reach the store.
type QueryPeers struct{}

// RequestYield asks the owner of a term to leave it to this instance.
type RequestYield struct {
	Addr string
	Term int64
}

// NotifyPeers tells peers of a record that this life can't write.
type NotifyPeers struct{ Record Record }

func (RequestYield) action() {}
func (NotifyPeers) action()  {}
func (Write) action()        {}
func (Gained) action()       {}
func (Lost) action()         {}
func (QueryPeers) action()   {}
func (Confirmed) action()    {}

// Reason says why a term was lost.
type Reason string

// The reasons for which a term is lost.
const (
	ReasonHigherTerm  Reason = "a higher term exists"
	ReasonUnconfirmed Reason = "no renewal was confirmed in time"
	ReasonReleased    Reason = "given up on leaving"
	ReasonYielded     Reason = "a stronger instance takes over"
	ReasonCutOff      Reason = "the store turns this instance away and serves its peers"
)
