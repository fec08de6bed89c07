package journal

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// ReaderAction is what a Reader asks its shell to do. Each step's last action
// is the call or the pause to make next.
type ReaderAction interface{ readerAction() }

// Read asks for the entries from an offset on. With Wait it may wait for the first.
type Read struct {
	From model.Offset
	Wait bool
}

// AskBounds asks for the stream's bounds.
type AskBounds struct{}

// Pause asks for PauseOver after a while.
type Pause struct{ For time.Duration }

// Deliver hands an entry on. Again says that a record with its ID has been
// delivered before, so that only its place in the log is news.
type Deliver struct {
	Entry platform.Entry
	Again bool
}

// Reset says that records were missed: what was learned so far may be out of
// date, and what is still kept follows from Next on.
type Reset struct{ Next model.Offset }

// CaughtUp says that all records below Next have been delivered.
type CaughtUp struct{ Next model.Offset }

func (Read) readerAction()      {}
func (AskBounds) readerAction() {}
func (Pause) readerAction()     {}
func (Deliver) readerAction()   {}
func (Reset) readerAction()     {}
func (CaughtUp) readerAction()  {}
