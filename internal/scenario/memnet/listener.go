package memnet

import (
	"net"
	"sync"
)

// Listener accepts the connections to one address of a Net.
type Listener struct {
	net   *Net
	addr  string
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close refuses connections from now on.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		delete(l.net.listeners, l.addr)
		l.net.mu.Unlock()
		close(l.done)
	})
	return nil
}

// Addr gives the listener's address.
func (l *Listener) Addr() net.Addr { return address(l.addr) }
