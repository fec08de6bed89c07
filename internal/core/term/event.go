package term

import "time"

// Event is what happened.
type Event interface{ event() }

// ReadResult is what a read gave.
type ReadResult struct {
	// Records are the records read, oldest first.
	Records []Record
	// End is the offset up to which everything has been read.
	End int64
}

// PeerRecord is a record that a peer has read.
type PeerRecord struct{ Record Record }

// ReadFailed says that a read failed.
type ReadFailed struct{}

// WriteResult is the answer to a Write.
type WriteResult struct {
	Outcome WriteOutcome
	// End is the end after a write that was done.
	End int64
	// SentAt is when the write was sent.
	SentAt time.Duration
	// Record is the one that was to be written.
	Record Record
}

// WriteOutcome says what became of a write.
type WriteOutcome int

// The results of a write.
const (
	WriteDone WriteOutcome = iota
	// WriteConflict means that somebody else has written.
	WriteConflict
	// WriteFailed means that nothing was written.
	WriteFailed
	// WriteOutcomeUnknown means that it may have been written, or may be yet.
	WriteOutcomeUnknown
)

// PeersCutOff says that every peer that could be asked can't reach the store
// either, so that none of them can claim.
type PeersCutOff struct{}

// PeersReachStore says that the store turns this life away and serves peers, of whom one
// will claim the next term.
type PeersReachStore struct{}

// HigherTermSeen says that somebody met a higher term.
type HigherTermSeen struct{}

// Stopping says that the process will stop.
type Stopping struct{}

// YieldRequested says that a stronger instance asks for a term.
type YieldRequested struct{ Term int64 }

// Tick passes time.
type Tick struct {
	// AllTopicsReachable says that no part of the store is lost to this process.
	AllTopicsReachable bool
}

func (ReadResult) event()      {}
func (PeerRecord) event()      {}
func (ReadFailed) event()      {}
func (WriteResult) event()     {}
func (PeersCutOff) event()     {}
func (PeersReachStore) event() {}
func (HigherTermSeen) event()  {}
func (Stopping) event()        {}
func (YieldRequested) event()  {}
func (Tick) event()            {}
