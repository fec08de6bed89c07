package inbound

import (
	"context"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/admission"
)

// conn is a connection that reports whether it waits for its peer. Its fields are used by the
// goroutine that serves it.
type conn struct {
	net.Conn
	server *Server
	id     admission.ConnID
	// hijacked says that the handler uses the connection for a protocol of its own, in which
	// only what is received counts as a sign of life.
	hijacked bool
	// head is the head that is being read if inHead is set.
	head   admission.Head
	inHead bool
	// refused says that a head was refused. No more is read then.
	refused bool
}

// Read implements net.Conn. It refuses a head beyond the limits.
func (c *conn) Read(p []byte) (int, error) {
	if c.refused {
		return 0, errRefused
	}
	n, err := c.Conn.Read(p)
	switch {
	case n > 0 && c.hijacked:
		c.step(admission.Progressed)
	case n > 0 && c.inHead && !c.head.Add(p[:n]):
		c.refuseHead()
		return 0, errRefused
	}
	return n, err
}

// refuseHead answers in place of net/http, whose own limit does not count lines.
func (c *conn) refuseHead() {
	c.refused = true
	c.server.heads.add()
	_, _ = io.WriteString(c.Conn, headRefusal)
}

// Write implements net.Conn. An answer waits for its peer to take it. Nothing follows the refusal of a head:
// net/http takes a line that was read in part for a whole one, and would refuse it as well.
func (c *conn) Write(p []byte) (int, error) {
	if c.refused {
		return 0, errRefused
	}
	if !c.hijacked {
		c.step(admission.Waiting)
	}
	return c.Conn.Write(p)
}

// CloseWrite lets net/http close one direction first, as it does for connections of the net
// package, so that a refusal arrives before the connection is reset.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// NetConn returns the connection itself, for options of its socket.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.step(admission.Closed)
	return c.Conn.Close()
}

func (c *conn) step(kind admission.EventKind) { c.server.step(c.id, kind) }

// stateChanged is an http.Server's ConnState.
func stateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.inHead = false
		c.step(admission.Working)
	case http.StateIdle:
		c.head, c.inHead = admission.Head{}, true
		c.step(admission.Waiting)
	case http.StateHijacked:
		c.hijacked, c.inHead = true, false
		c.step(admission.Waiting)
	}
}

// headRefusal answers a head beyond the limits.
const headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// errRefused ends a connection after the refusal of a head. net/http does not answer errors of its type.
var errRefused = &net.OpError{Op: "read", Err: eris.New("head of a request is beyond its limits")}

type connKey struct{}

// withConn is an http.Server's ConnContext.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// connOf returns the connection of a request, nil if it is none of a Server.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}
