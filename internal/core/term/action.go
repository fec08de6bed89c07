package term

import "time"

// Action is something that the caller of Step must do.
type Action interface{ action() }

// Write appends a record on the condition that the topic ends at ExpectedEnd.
type Write struct {
	Record      Record
	ExpectedEnd int64
}

// Gained says that this instance owns the term from now on.
type Gained struct {
	Term int64
	// At is when the claim was sent: no other instance owned a later term then.
	At time.Duration
	// EarlierUntil is until when owners of earlier terms may still renew leases, besides one that had
	// lost its term by the consent of its witnesses.
	EarlierUntil time.Duration
}

// EarlierOwnersEnd says that owners of earlier terms renew leases no longer than until At, which is
// earlier than what Gained or the action before it said.
type EarlierOwnersEnd struct{ At time.Duration }

// Lost says that this instance no longer owns the term.
type Lost struct {
	Term   int64
	Reason Reason
}

// Confirmed says that no other instance owned a later term at the time At, so that tasks may be
// started: the store confirmed a renewal sent then, or enough witnesses have promised that were asked
// then, within StartLimit after a stored renewal.
type Confirmed struct{ At time.Duration }

// QueryPeers asks the peers whether they can reach the store.
type QueryPeers struct{}

// AskPromises asks witnesses of the owned term for promises, see package witness.
type AskPromises struct {
	Term int64
	// Renewal is the latest renewal that is known to be stored.
	Renewal   int64
	Witnesses []Witness
	// At is the time of the question.
	At time.Duration
}

// AskConsents asks the witnesses of a record for their consent to a claim that follows it.
type AskConsents struct {
	Term      int64
	Renewal   int64
	Witnesses []Witness
}

// ClaimWaits reports that a claim is due and has too few consents, each time that the witnesses'
// answers have changed, for the log.
type ClaimWaits struct {
	Term    int64
	Renewal int64
	// Consented, Refused and Silent are the addresses of the witnesses by their answers, and Needed is
	// how many must consent.
	Consented, Refused, Silent []string
	Needed                     int
	// MaxWait is how long the claim waits at most if the store goes on answering.
	MaxWait time.Duration
}

// CheckWitnesses asks which of the current witnesses answer, and which other instances could
// replace the rest.
type CheckWitnesses struct {
	Term    int64
	Current []Witness
}

// RequestYield asks the owner of a term to release it for this instance.
type RequestYield struct {
	Addr string
	Term int64
}

// NotifyPeers sends the peers a record that this instance can't write to the store.
type NotifyPeers struct{ Record Record }

// WriteVote appends a vote without a condition.
type WriteVote struct{ Vote Vote }

func (WriteVote) action()        {}
func (RequestYield) action()     {}
func (NotifyPeers) action()      {}
func (Write) action()            {}
func (Gained) action()           {}
func (EarlierOwnersEnd) action() {}
func (Lost) action()             {}
func (QueryPeers) action()       {}
func (AskPromises) action()      {}
func (AskConsents) action()      {}
func (ClaimWaits) action()       {}
func (CheckWitnesses) action()   {}
func (Confirmed) action()        {}

// Reason says why a term was lost.
type Reason string

// The reasons for which a term is lost. Their texts are in the log of event 2211 and in
// the operators' guide.
const (
	ReasonHigherTerm  Reason = "a higher term exists"
	ReasonUnconfirmed Reason = "no renewal was confirmed in time"
	ReasonReleased    Reason = "given up on leaving"
	ReasonYielded     Reason = "a stronger instance takes over"
	ReasonUnreached   Reason = "a peer reaches more workers"
	ReasonCutOff      Reason = "the store turns this instance away and serves its peers"
	ReasonVotedOut    Reason = "most of its witnesses get no answer from this instance"
	ReasonOutnumbered Reason = "more instances get no answer from this one than answer it"
)
