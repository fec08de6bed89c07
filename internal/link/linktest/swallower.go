package linktest

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Swallower forwards connections to an address. Told to swallow, it drops all
// bytes of the connections that are open and forwards new ones, as a middlebox
// does that has lost track of them.
type Swallower struct {
	// Addr is the address to connect to instead.
	Addr string
	to   string

	mu   sync.Mutex
	gone chan struct{}
	mute bool
}

// NewSwallower forwards connections to an address until the test ends.
func NewSwallower(t *testing.T, to string) *Swallower {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Swallower{Addr: ln.Addr().String(), to: to, gone: make(chan struct{})}
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

// Swallow makes the open connections silent.
func (s *Swallower) Swallow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.gone)
	s.gone = make(chan struct{})
}

// Mute makes new connections silent from their start, or ends that.
func (s *Swallower) Mute(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = on
}

func (s *Swallower) forward(c net.Conn) {
	s.mu.Lock()
	gone := s.gone
	if s.mute {
		gone = make(chan struct{})
		close(gone)
	}
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
