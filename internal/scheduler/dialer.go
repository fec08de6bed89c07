package scheduler

import (
	"sync"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// dialer keeps one client for each configured worker.
type dialer struct {
	workers platform.Workers

	mu    sync.RWMutex
	known map[model.WorkerID]dialed
}

type dialed struct {
	worker model.Worker
	cell   model.CellID
	client platform.Worker
}

func newDialer(w platform.Workers) *dialer {
	return &dialer{workers: w, known: make(map[model.WorkerID]dialed)}
}

// configure takes the workers of a configuration; clients of unchanged ones stay.
func (d *dialer) configure(doc *config.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[model.WorkerID]dialed)
	for _, c := range doc.Fleet.Cells {
		for _, w := range c.Workers {
			old, ok := d.known[w.ID]
			if !ok || old.worker.Addr != w.Addr {
				old = dialed{worker: w, client: d.workers.Dial(w)}
			}
			old.cell = c.ID
			next[w.ID] = old
		}
	}
	d.known = next
}

// get gives a worker's client; nil when the configuration has no such worker.
func (d *dialer) get(id model.WorkerID) platform.Worker {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if e, ok := d.known[id]; ok {
		return e.client
	}
	return nil
}

// cellOf gives a worker's cell; empty when the configuration has no such worker.
func (d *dialer) cellOf(id model.WorkerID) model.CellID {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.known[id].cell
}
