package linktest

import (
	"io"
	"net"
	"sync"
	"testing"
)

// Blackhole forwards connections to an address. Told to, it drops all the
// bytes of the connections that are open and forwards new ones, as a middlebox
// does that has lost track of them.
type Blackhole struct {
	// Addr is the address to connect to instead.
	Addr string
	to   string

	mu      sync.Mutex
	gone    chan struct{}
	dropNew bool
}

// NewBlackhole forwards connections to an address until the test ends.
func NewBlackhole(t *testing.T, to string) *Blackhole {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Blackhole{Addr: ln.Addr().String(), to: to, gone: make(chan struct{})}
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

// DropOpen makes the open connections silent.
func (s *Blackhole) DropOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.gone)
	s.gone = make(chan struct{})
}

// DropNew makes new connections silent from their start, or ends that.
func (s *Blackhole) DropNew(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropNew = on
}

func (s *Blackhole) forward(c net.Conn) {
	s.mu.Lock()
	gone := s.gone
	if s.dropNew {
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
