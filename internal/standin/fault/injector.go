package fault

import (
	"context"
	"sync"
	"time"
)

// maxConns limits how many connections an Injector remembers.
const maxConns = 8192

// Injector holds the current faults of one stand-in and applies them. It is safe
// for concurrent use.
type Injector struct {
	clock     func() time.Time
	mu        sync.Mutex
	fault     Fault
	resumed   chan struct{}
	conns     map[string]bool // by remote address: whether it is silenced
	connOrder []string        // the keys of conns, oldest first
}

// NewInjector returns an Injector without faults. It reads the time from clock.
func NewInjector(clock func() time.Time) *Injector {
	return &Injector{
		clock:   clock,
		resumed: make(chan struct{}),
		conns:   make(map[string]bool),
	}
}

// SetFault replaces the current faults. If a pause ends, the held requests continue.
func (inj *Injector) SetFault(f Fault) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if inj.fault.Paused && !f.Paused {
		close(inj.resumed)
		inj.resumed = make(chan struct{})
	}
	inj.fault = f
}

// Fault returns the current faults.
func (inj *Injector) Fault() Fault {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.fault
}

// SilenceConnections silences every connection used so far, permanently: requests
// on it are dropped, and responses are never sent. New connections work.
func (inj *Injector) SilenceConnections() {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	for addr := range inj.conns {
		inj.conns[addr] = true
	}
}

// BeforeAction applies the faults that act before a request is executed. It reports
// whether the service is down, and returns early when ctx ends.
func (inj *Injector) BeforeAction(ctx context.Context) (down bool) {
	inj.mu.Lock()
	f, resumed := inj.fault, inj.resumed
	inj.mu.Unlock()
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

// LoseAnswer reports whether the response to the request just executed is lost.
func (inj *Injector) LoseAnswer() bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	switch {
	case inj.fault.LoseAnswers < 0:
		return true
	case inj.fault.LoseAnswers > 0:
		inj.fault.LoseAnswers--
		return true
	}
	return false
}

// noteConn records a connection and reports whether it is silenced.
func (inj *Injector) noteConn(addr string) bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	silent, known := inj.conns[addr]
	if known {
		return silent
	}
	if len(inj.connOrder) >= maxConns {
		delete(inj.conns, inj.connOrder[0])
		inj.connOrder = inj.connOrder[1:]
	}
	inj.conns[addr] = false
	inj.connOrder = append(inj.connOrder, addr)
	return false
}

// forgetConn marks a closed connection as not silenced, as its port may be reused.
func (inj *Injector) forgetConn(addr string) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if _, known := inj.conns[addr]; known {
		inj.conns[addr] = false
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
