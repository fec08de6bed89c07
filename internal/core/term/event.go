package term

import "time"

// Event is what happened.
type Event interface{ event() }

// Observed is what a read gave.
type Observed struct {
	// Records are the records read, oldest first.
	Records []Record
	// End is the offset up to which everything has been read.
	End int64
}

// Heard is a record that a peer has read.
type Heard struct{ Record Record }

// StoreFailed says that a read failed.
type StoreFailed struct{}

// Written is the answer to a Write.
type Written struct {
	Result Result
	// End is the end after a write that was done.
	End int64
	// Sent is when the write was sent.
	Sent time.Duration
	// Record is the one that was to be written.
	Record Record
}

// Result says what became of a write.
type Result int

// The results of a write.
const (
	WriteDone Result = iota
	// WriteMoved means that somebody else has written.
	WriteMoved
	// WriteFailed means that nothing was written.
	WriteFailed
	// WriteUnclear means that it may have been written, or may be yet.
	WriteUnclear
)

// PeersAgree says that every peer that could be asked can't reach the store
// either, so that none of them can claim.
type PeersAgree struct{}

// PeersServed says that the store turns this life away and serves peers, of whom one
// will claim the next term.
type PeersServed struct{}

// Deposed says that somebody met a higher term.
type Deposed struct{}

// Leaving says that the process will stop.
type Leaving struct{}

// YieldAsked says that a stronger instance asks for a term.
type YieldAsked struct{ Term int64 }

// Tick passes time.
type Tick struct {
	// Whole says that no part of the store is lost to this process.
	Whole bool
}

func (Observed) event()    {}
func (Heard) event()       {}
func (StoreFailed) event() {}
func (Written) event()     {}
func (PeersAgree) event()  {}
func (PeersServed) event() {}
func (Deposed) event()     {}
func (Leaving) event()     {}
func (YieldAsked) event()  {}
func (Tick) event()        {}
