package entry_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"coltsfootmux/internal/link/core"
)

// swallower forwards connections to an address. Told to swallow, it drops all
// bytes of the connections that are open and forwards new ones, as a middlebox
// does that has lost track of them.
type swallower struct {
	addr string
	to   string

	mu   sync.Mutex
	gone chan struct{}
}

func newSwallower(t *testing.T, to string) *swallower {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &swallower{addr: ln.Addr().String(), to: to, gone: make(chan struct{})}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.forward(c)
		}
	}()
	return s
}

// swallow makes the open connections silent.
func (s *swallower) swallow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.gone)
	s.gone = make(chan struct{})
}

func (s *swallower) forward(c net.Conn) {
	s.mu.Lock()
	gone := s.gone
	s.mu.Unlock()
	d, err := net.Dial("tcp", s.to)
	if err != nil {
		_ = c.Close()
		return
	}
	go pass(d, c, gone)
	pass(c, d, gone)
}

// pass copies until the source ends; once gone is closed it reads and drops.
func pass(dst, src net.Conn, gone chan struct{}) {
	defer dst.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		select {
		case <-gone:
			continue
		default:
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			_, _ = io.Copy(io.Discard, src)
			return
		}
	}
}

// fastLimits find a silent link within a fraction of a second.
func fastLimits() core.Limits {
	return core.Limits{BeatEvery: 50 * time.Millisecond, SilentAfter: 300 * time.Millisecond}
}
