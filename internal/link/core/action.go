package core

import (
	"time"

	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

// Action is something for the shell to do.
type Action interface{ action() }

type (
	// Write hands the next frame to the socket.
	Write struct{ Frame frame.Frame }
	// Pending says that a Writable event would now give a frame.
	Pending struct{}
	// Later says that frames wait for the byte budget; try Writable again then.
	Later struct{ After time.Duration }
	// Done gives a caller its whole answer.
	Done struct {
		Ticket Ticket
		Body   []byte
	}
	// Failed ends a call without an answer.
	Failed struct {
		Ticket Ticket
		Why    Why
		Text   string
	}
	// Run hands a whole request to its handler.
	Run struct {
		Call    uint64
		Kind    wire.Kind
		Body    []byte
		Timeout time.Duration
	}
	// Stop cancels a handler's context.
	Stop struct{ Call uint64 }
	// Condemn closes the connection.
	Condemn struct{ Reason string }
	// Drained says that a draining Acceptor has ended the link in good order.
	Drained struct{}
)

func (Write) action()   {}
func (Pending) action() {}
func (Later) action()   {}
func (Done) action()    {}
func (Failed) action()  {}
func (Run) action()     {}
func (Stop) action()    {}
func (Condemn) action() {}
func (Drained) action() {}
