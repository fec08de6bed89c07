package core

import (
	"time"

	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

// Ticket is the shell's name for a call that it opened.
type Ticket uint64

// Event is something that happened to a link.
type Event interface{ event() }

type (
	// StartCall asks a Dialer to make a call.
	StartCall struct {
		Ticket  Ticket
		Kind    wire.Kind
		Body    []byte
		Timeout time.Duration
	}
	// CancelCall says that the caller of a Dialer no longer waits.
	CancelCall struct{ Ticket Ticket }
	// Received is a frame that came in.
	Received struct{ Frame frame.Frame }
	// HandlerDone is what a handler of an Acceptor gave. Fault is set on an error.
	HandlerDone struct {
		Call  uint64
		Body  []byte
		Error string
	}
	// Writable says that the socket can take the next frame.
	Writable struct{}
	// Tick says that time has passed.
	Tick struct{}
	// Drain tells an Acceptor to take no new calls.
	Drain struct{}
	// Down says that the connection has ended.
	Down struct{}
)

func (StartCall) event()   {}
func (CancelCall) event()  {}
func (Received) event()    {}
func (HandlerDone) event() {}
func (Writable) event()    {}
func (Tick) event()        {}
func (Drain) event()       {}
func (Down) event()        {}
