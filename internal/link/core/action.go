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
	// FramesPending says that a Writable event would now give a frame.
	FramesPending struct{}
	// Throttled says that frames wait for the byte budget; try Writable again then.
	Throttled struct{ Wait time.Duration }
	// Completed gives a caller its whole answer.
	Completed struct {
		Ticket Ticket
		Body   []byte
	}
	// Failed ends a call without an answer.
	Failed struct {
		Ticket Ticket
		Reason FailureReason
		Text   string
	}
	// RunHandler hands a whole request to its handler.
	RunHandler struct {
		Call    uint64
		Kind    wire.Kind
		Body    []byte
		Timeout time.Duration
	}
	// CancelHandler cancels a handler's context.
	CancelHandler struct{ Call uint64 }
	// CloseLink closes the connection.
	CloseLink struct{ Reason string }
	// Drained says that a draining Acceptor has ended the link in good order.
	Drained struct{}
)

func (Write) action()         {}
func (FramesPending) action() {}
func (Throttled) action()     {}
func (Completed) action()     {}
func (Failed) action()        {}
func (RunHandler) action()    {}
func (CancelHandler) action() {}
func (CloseLink) action()     {}
func (Drained) action()       {}
