package journal

import "coltsfootmux/internal/platform"

// ReaderEvent is what can happen to a Reader.
type ReaderEvent interface{ readerEvent() }

// Begin starts a Reader.
type Begin struct{}

// PageRead answers a Read. No entries and no failure mean the stream's head.
type PageRead struct {
	Entries []platform.Entry
	Failure Failure
	// Jitter is random, from [0,1).
	Jitter float64
}

// BoundsRead answers an AskBounds.
type BoundsRead struct {
	Bounds  platform.Bounds
	Failure Failure
	Jitter  float64
}

// PauseOver says that a Pause has passed.
type PauseOver struct{}

func (Begin) readerEvent()      {}
func (PageRead) readerEvent()   {}
func (BoundsRead) readerEvent() {}
func (PauseOver) readerEvent()  {}
