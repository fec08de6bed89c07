package journal

import (
	"time"

	"coltsfootmux/internal/platform"
)

// item is one record on its way.
type item struct {
	record platform.Record
	ticket Ticket
	// due is when it may be sent at the earliest.
	due time.Time
	// flying says that it is part of an append whose fate is open.
	flying bool
	// sent says that it was part of an append that may have taken effect.
	sent bool
	// gone says that its caller no longer waits, and has been told so.
	gone bool
}

func (it *item) size() int { return len(it.record.ID) + len(it.record.Type) + len(it.record.Data) }

// phase is what a stream's queue waits for.
type phase uint8

const (
	idle phase = iota
	locating
	appending
	checking
)
