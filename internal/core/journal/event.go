package journal

import (
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Event is what can happen to a Writer.
type Event interface{ event() }

// Ticket names a caller that waits for its record; 0 stands for none.
type Ticket uint64

// Submitted brings a record to be written.
type Submitted struct {
	Stream platform.Stream
	Record platform.Record
	Ticket Ticket
}

// Withdrawn says that a caller no longer waits. Its record is dropped if it was
// not sent yet.
type Withdrawn struct{ Ticket Ticket }

// Located answers a Locate.
type Located struct {
	Stream  platform.Stream
	Bounds  platform.Bounds
	Failure Failure
	// Jitter is random, from [0,1), as in the other answers.
	Jitter float64
}

// Appended answers an Append.
type Appended struct {
	Stream  platform.Stream
	First   model.Offset
	Failure Failure
	Jitter  float64
}

// TailRead answers a ReadTail. No entries and no failure mean the stream's head.
type TailRead struct {
	Stream  platform.Stream
	Entries []platform.Entry
	Failure Failure
	Jitter  float64
}

// Tick lets time-bound decisions happen.
type Tick struct{}

func (Submitted) event() {}
func (Withdrawn) event() {}
func (Located) event()   {}
func (Appended) event()  {}
func (TailRead) event()  {}
func (Tick) event()      {}
