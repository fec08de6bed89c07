package partitionsim

import (
	"fmt"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

const (
	// dataCentres is the number of data centres, d0 and up.
	dataCentres = 3
	// heartbeatInterval is the time between two heartbeats of a worker, entryLifetime how
	// long its entry outlives the last one.
	heartbeatInterval = 500 * time.Millisecond
	entryLifetime     = 4500 * time.Millisecond
)

// heartbeat is what the store knows of a worker's life.
type heartbeat struct {
	machine *fleet.Machine
	lastAt  time.Duration
	listed  bool
}

// addWorker adds the n-th worker, on a rack of four. Data centres take turns.
func (s *simulation) addWorker(n int) {
	rack := fmt.Sprintf("r%d", n/4)
	m := s.fleet.Add(external.Worker{
		ID: external.WorkerID(fmt.Sprintf("w%02d", n)), Zone: fmt.Sprintf("d%d", n%dataCentres), Pool: "p", Addr: fmt.Sprintf("10.0.0.%d:1", n),
		Capacity: job.Resources{CPU: 32000, MemMB: 64000, GPU: 8}, Labels: []string{"a", rack}, Rack: rack, StartedMS: 1,
	})
	m.ClockRate = 0.98 + 0.04*s.rng.Float64()
	h := &heartbeat{machine: m}
	s.heartbeats = append(s.heartbeats, h)
	s.list(h)
	s.schedule(s.between(0, heartbeatInterval), func() { s.beat(h) })
}

// list writes a worker's entry.
func (s *simulation) list(h *heartbeat) {
	h.lastAt, h.listed = s.now, true
	s.store.workers.append(workerRecord{id: h.machine.ID, worker: h.machine.Worker})
}

// beat plays a worker's heartbeat, or the end of its entry.
func (s *simulation) beat(h *heartbeat) {
	s.schedule(heartbeatInterval, func() { s.beat(h) })
	switch {
	case s.net.storeDown != linkOK:
		h.lastAt = s.now // nothing expires in an outage
	case !h.machine.Down && s.net.state(host(h.machine.ID), storeHost) == linkOK:
		h.lastAt = s.now
		if !h.listed {
			s.list(h)
		}
	case h.listed && s.now-h.lastAt > entryLifetime:
		h.listed = false
		s.store.workers.append(workerRecord{id: h.machine.ID, removed: true})
	}
}
