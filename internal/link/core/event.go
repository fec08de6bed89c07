package core

import (
	"time"

	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

// Ticket identifies a call of a Dialer to the user of the Dialer. The call gets
// its number on the link only when its first frame is sent.
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
	// CancelCall tells a Dialer that the caller no longer waits.
	CancelCall struct{ Ticket Ticket }
	// Received is a frame that was received.
	Received struct{ Frame frame.Frame }
	// HandlerDone tells an Acceptor what a handler returned: an encoded answer, or
	// the text of an error.
	HandlerDone struct {
		Call  uint64
		Body  []byte
		Error string
	}
	// Writable reports that the socket can accept the next frame.
	Writable struct{}
	// Tick reports that time has passed. It is due every Limits.TickInterval.
	Tick struct {
		// PartialBytes is what has been read of a frame that has not arrived whole.
		PartialBytes int
	}
	// Drain tells an Acceptor to accept no new calls.
	Drain struct{}
	// Down reports that the connection has ended.
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
