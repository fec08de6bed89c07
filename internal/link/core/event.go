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
	// Open asks a Dialer to make a call.
	Open struct {
		Ticket  Ticket
		Kind    wire.Kind
		Body    []byte
		Timeout time.Duration
	}
	// Abandon says that the caller of a Dialer no longer waits.
	Abandon struct{ Ticket Ticket }
	// Received is a frame that came in.
	Received struct{ Frame frame.Frame }
	// Answered is what a handler of an Acceptor gave. Fault is set on an error.
	Answered struct {
		Call  uint64
		Body  []byte
		Fault string
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

func (Open) event()     {}
func (Abandon) event()  {}
func (Received) event() {}
func (Answered) event() {}
func (Writable) event() {}
func (Tick) event()     {}
func (Drain) event()    {}
func (Down) event()     {}
