package journal

import (
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Action is what a Writer asks its shell to do.
type Action interface{ action() }

// Locate asks for a stream's bounds.
type Locate struct{ Stream platform.Stream }

// Append asks for records to be appended in one call.
type Append struct {
	Stream  platform.Stream
	Records []platform.Record
}

// ReadTail asks for the entries from an offset on, without waiting for any.
type ReadTail struct {
	Stream platform.Stream
	From   model.Offset
}

// Answer tells a caller what became of its record.
type Answer struct {
	Ticket Ticket
	Result Result
	// Offset is set with Recorded.
	Offset model.Offset
}

// Result is what became of a record.
type Result uint8

// The results.
const (
	// Recorded means that it is on the log.
	Recorded Result = iota + 1
	// QueueFull means that it was not taken in.
	QueueFull
	// NotRecorded means that it was withdrawn before it was ever sent.
	NotRecorded
	// Unclear means that it was withdrawn when it may have been on the log.
	Unclear
	// RefusedByLog means that the log will not take it.
	RefusedByLog
)

func (Locate) action()   {}
func (Append) action()   {}
func (ReadTail) action() {}
func (Answer) action()   {}
