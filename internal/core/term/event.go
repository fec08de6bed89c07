package term

import (
	"time"

	"coltsfootmux/internal/core/shed"
	"coltsfootmux/internal/core/witness"
)

// Event is an input of Step.
type Event interface{ event() }

// ReadResult holds the records of a successful read.
type ReadResult struct {
	Records []Record
	// Votes are those among the records, see Vote.
	Votes []Vote
	// End is the offset up to which everything has been read.
	End int64
}

// PeerRecord is a record that a peer has read.
type PeerRecord struct{ Record Record }

// ReadFailed says that a read failed.
type ReadFailed struct{}

// WriteResult is the result of a Write.
type WriteResult struct {
	Outcome WriteOutcome
	// End is the offset after the record if it was written.
	End int64
	// SentAt is when the write was sent.
	SentAt time.Duration
	// Record is the record that was to be written, and ExpectedEnd its condition.
	Record      Record
	ExpectedEnd int64
}

// WriteOutcome says what is known of a write.
type WriteOutcome int

// The outcomes of a write.
const (
	WriteDone WriteOutcome = iota
	// WriteConflict means that nothing was written, as the end was not the expected one:
	// another record was appended before.
	WriteConflict
	// WriteFailed means that nothing was written for another reason.
	WriteFailed
	// WriteOutcomeUnknown means that the record may have been written, or may still be.
	WriteOutcomeUnknown
)

// Promised says that a witness has promised not to consent to a claim of a term after Term.
type Promised struct {
	Witness witness.ID
	Term    int64
	// At is when the witness was asked.
	At time.Duration
}

// Consented says that a witness has consented to a claim that follows a record.
type Consented struct {
	Witness witness.ID
	Term    int64
	Renewal int64
}

// ConsentRefused says that a witness does not consent to a claim that follows a record.
type ConsentRefused struct {
	Witness witness.ID
	Term    int64
	Renewal int64
}

// WitnessesChecked gives the instances that have answered a CheckWitnesses, in the order of
// preference.
type WitnessesChecked struct {
	Term     int64
	Answered []Witness
}

// PeersReachStore says that the store refuses this instance but serves some of its
// peers, one of which will claim the next term.
type PeersReachStore struct{}

// MembersChanged says that other instances have become known.
type MembersChanged struct{}

// HigherTermSeen says that a higher term was met elsewhere, for example by a worker.
type HigherTermSeen struct{}

// Stopping says that the process is about to stop.
type Stopping struct{}

// YieldRequested says that an instance on a stronger machine requests the given term.
type YieldRequested struct {
	Term int64
	// Addr is the address of that instance; empty if its version does not say.
	Addr string
}

// YieldUnanswered says that the owner of a term has not answered a RequestYield.
type YieldUnanswered struct {
	Term int64
	// Asked is the number of the other witnesses that were asked then, Answered of those that answered.
	Asked, Answered int
}

// Tick says that time has passed.
type Tick struct {
	// AllTopicsReachable says that this process can reach every topic of the store.
	AllTopicsReachable bool
	// Lag is how late this process runs its own work.
	Lag time.Duration
	// Refused is how much new work an owner has all instances refuse.
	Refused shed.Level
}

func (ReadResult) event()       {}
func (PeerRecord) event()       {}
func (ReadFailed) event()       {}
func (WriteResult) event()      {}
func (Promised) event()         {}
func (Consented) event()        {}
func (ConsentRefused) event()   {}
func (WitnessesChecked) event() {}
func (PeersReachStore) event()  {}
func (MembersChanged) event()   {}
func (HigherTermSeen) event()   {}
func (Stopping) event()         {}
func (YieldRequested) event()   {}
func (YieldUnanswered) event()  {}
func (Tick) event()             {}
