package httpworker

import (
	"sync"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
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
	return &Workers{opts: opts.withDefaults(), byID: make(map[model.WorkerID]*Worker)}
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
		old.close()
	}
	c := newWorker(w.Addr, ws.opts)
	ws.byID[w.ID] = c
	return c
}

// Close gives all idle connections up.
func (ws *Workers) Close() {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	for _, c := range ws.byID {
		c.close()
	}
}
