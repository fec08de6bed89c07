package httpworker

import (
	"sync"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/httpcall"
)

// Workers reaches workers by their configured addresses.
type Workers struct {
	opts Options
	mu   sync.Mutex
	byID map[model.WorkerID]*Worker
}

var _ platform.Workers = (*Workers)(nil)

// New makes the clients' common part.
func New(opts Options) *Workers {
	if opts.Poll <= 0 {
		opts.Poll = defaultPoll
	}
	return &Workers{opts: opts, byID: make(map[model.WorkerID]*Worker)}
}

// Dial gives the client of a worker; it does no I/O. Clients of the same worker
// share their connections. A worker that moved to another address gets a new one.
func (ws *Workers) Dial(w model.Worker) platform.Worker {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	old, ok := ws.byID[w.ID]
	if ok && old.addr == w.Addr {
		return old
	}
	if ok {
		old.call.Close()
	}
	c := &Worker{
		addr: w.Addr,
		poll: ws.opts.Poll,
		call: httpcall.New("http://"+w.Addr, ws.opts.call()),
	}
	ws.byID[w.ID] = c
	return c
}

// Close gives all idle connections up.
func (ws *Workers) Close() {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, c := range ws.byID {
		c.call.Close()
	}
}
