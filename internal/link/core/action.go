package core

import (
	"time"

	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

// Action is something that the caller of Step must do.
type Action interface{ action() }

type (
	// Write sends a frame.
	Write struct{ Frame frame.Frame }
	// FramesPending reports that there may be a frame to send: a Writable event is due.
	FramesPending struct{}
	// Throttled reports that the budget delays all waiting frames. The next
	// Writable event is due after Wait.
	Throttled struct{ Wait time.Duration }
	// Completed ends a call with its answer.
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
	// RunHandler starts the handler of a complete request.
	RunHandler struct {
		Call    uint64
		Kind    wire.Kind
		Body    []byte
		Timeout time.Duration
	}
	// CancelHandler cancels the context of a running handler.
	CancelHandler struct{ Call uint64 }
	// CloseLink closes the connection.
	CloseLink struct {
		Reason string
		Health Health
	}
	// Drained reports that a draining Acceptor has answered all calls and sent its
	// GoAway frame.
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
