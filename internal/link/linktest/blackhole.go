package linktest

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Blackhole is a TCP proxy to an address. On request it silently drops all bytes of
// the open connections while it forwards new ones, like a middlebox that has lost
// its state of those connections.
type Blackhole struct {
	// Addr is the proxy's own address.
	Addr string
	// to is the address to which connections are forwarded.
	to string

	mu       sync.Mutex
	dropping chan struct{}
	dropNew  bool
}

// NewBlackhole starts a proxy to an address. It accepts connections until the test
// ends.
func NewBlackhole(t *testing.T, to string) *Blackhole {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &Blackhole{Addr: ln.Addr().String(), to: to, dropping: make(chan struct{})}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.forward(c)
		}
	}()
	return b
}

// DropOpen drops all further bytes of the connections that are open now.
func (b *Blackhole) DropOpen() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.dropping)
	b.dropping = make(chan struct{})
}

// DropNew sets whether all bytes of new connections are dropped.
func (b *Blackhole) DropNew(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropNew = on
}

func (b *Blackhole) forward(c net.Conn) {
	b.mu.Lock()
	dropping := b.dropping
	if b.dropNew {
		dropping = make(chan struct{})
		close(dropping)
	}
	b.mu.Unlock()
	d, err := net.Dial("tcp", b.to)
	if err != nil {
		_ = c.Close()
		return
	}
	go relay(d, c, dropping)
	relay(c, d, dropping)
}

// relay copies from src to dst until src ends. Once gone is closed it discards what
// it reads.
func relay(dst, src net.Conn, dropping chan struct{}) {
	defer dst.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-dropping:
			continue
		default:
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			_, _ = io.Copy(io.Discard, src)
			return
		}
	}
}
