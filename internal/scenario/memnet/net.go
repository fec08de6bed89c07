// Package memnet is a network in memory, for tests in virtual time.
package memnet

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

// ErrRefused means that nobody listens at the address.
var ErrRefused = eris.New("connection refused")

// Net is a network of listeners by address. It is safe for concurrent use.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*Listener
	dialled   int
}

// New gives an empty network.
func New() *Net { return &Net{listeners: make(map[string]*Listener)} }

// Listen opens a listener at an address.
func (n *Net) Listen(addr string) *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &Listener{net: n, addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// Dial connects to the listener at an address. Each connection has an address
// of its own.
func (n *Net) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[addr]
	n.dialled++
	from := address(fmt.Sprintf("conn%d", n.dialled))
	n.mu.Unlock()
	if !ok {
		return nil, eris.Wrap(ErrRefused, addr)
	}
	client, server := net.Pipe()
	select {
	case l.conns <- &conn{Conn: server, remote: from}:
		return client, nil
	case <-l.done:
		return nil, eris.Wrap(ErrRefused, addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// conn is the server's end of a connection.
type conn struct {
	net.Conn
	remote net.Addr
}

func (c *conn) RemoteAddr() net.Addr { return c.remote }

// address names an end in a Net.
type address string

func (address) Network() string  { return "memory" }
func (a address) String() string { return string(a) }
