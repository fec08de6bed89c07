package fault

import (
	"context"
	"sync"
	"time"
)

// maxConns bounds how many connections a Set remembers.
const maxConns = 8192

// Injector holds the faults in force for one stand-in. It is safe for concurrent use.
type Injector struct {
	clock   func() time.Time
	mu      sync.Mutex
	fault   Fault
	resumed chan struct{}
	conns   map[string]bool // remote address -> silent
	order   []string        // the keys of conns, oldest first
}

// NewInjector gives a healthy Set that tells the time by clock.
func NewInjector(clock func() time.Time) *Injector {
	return &Injector{
		clock:   clock,
		resumed: make(chan struct{}),
		conns:   make(map[string]bool),
	}
}

// SetFault replaces the faults in force. A pause that ends lets held requests go on.
func (s *Injector) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Paused && !f.Paused {
		close(s.resumed)
		s.resumed = make(chan struct{})
	}
	s.fault = f
}

// Fault gives the faults in force.
func (s *Injector) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// SilenceConnections makes every connection that was used so far go silent for good:
// requests on it vanish and answers to it are never sent. New ones work.
func (s *Injector) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr := range s.conns {
		s.conns[addr] = true
	}
}

// BeforeAction applies the faults that come ahead of the action. It reports whether
// the service is down, and returns early when ctx ends.
func (s *Injector) BeforeAction(ctx context.Context) (down bool) {
	s.mu.Lock()
	f, resumed := s.fault, s.resumed
	s.mu.Unlock()
	if f.Paused {
		select {
		case <-resumed:
		case <-ctx.Done():
		}
	}
	if f.Slow > 0 {
		sleep(ctx, f.Slow)
	}
	return f.Down
}

// LoseAnswer reports whether the answer of the action just done is lost.
func (s *Injector) LoseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.fault.LoseAnswers < 0:
		return true
	case s.fault.LoseAnswers > 0:
		s.fault.LoseAnswers--
		return true
	}
	return false
}

// used notes a connection and reports whether it has gone silent.
func (s *Injector) used(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	silent, known := s.conns[addr]
	if known {
		return silent
	}
	if len(s.order) >= maxConns {
		delete(s.conns, s.order[0])
		s.order = s.order[1:]
	}
	s.conns[addr] = false
	s.order = append(s.order, addr)
	return false
}

// forget drops a connection that has been closed, as its port may be used again.
func (s *Injector) forget(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.conns[addr]; known {
		s.conns[addr] = false
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
