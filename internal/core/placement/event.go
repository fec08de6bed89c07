package placement

import (
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Event is what can happen to a Core.
type Event interface{ event() }

// Configured brings a configuration into force.
type Configured struct{ Config *config.Versioned }

// CellGained adds a cell that this scheduler now owns, with what runs there.
type CellGained struct {
	Cell    model.Cell
	Epoch   model.Epoch
	Running []Running
}

// Running is a lease found on a worker when its cell was gained.
type Running struct {
	Worker model.WorkerID
	Leased platform.Leased
}

// CellLost takes away a cell that another scheduler owns now. Work waiting in
// the core stays; work running there is no longer this core's.
type CellLost struct{ Cell model.CellID }

// WorkerFound brings what runs on a worker of an owned cell that could not be
// reached when the cell was gained.
type WorkerFound struct {
	Worker  model.WorkerID
	Running []Running
}

// Submitted adds work to the queue.
type Submitted struct {
	Work       model.Work
	Group      model.GroupID
	GroupEpoch model.Epoch
	Attempt    int
	// Cells limits where it may run; empty for every owned cell.
	Cells []model.CellID
}

// Cancelled withdraws work, waiting or running.
type Cancelled struct{ Key model.Key }

// Started says that every member of a Begin runs.
type Started struct{ Key model.Key }

// BeginFailed says that a Begin did not come about and every lease of it is
// released or barred. Fault is set when a worker could not be reached.
type BeginFailed struct {
	Key    model.Key
	Worker model.WorkerID
	Fault  bool
}

// Ended says that a lease's task ended, or that the lease is gone.
type Ended struct {
	Worker model.WorkerID
	Ending platform.Ending
}

// WorkerSeen reports contact with a worker: whether it answered and whether it is leaving.
type WorkerSeen struct {
	Worker  model.WorkerID
	Up      bool
	Leaving bool
}

// Used reports a task's resource use as of At.
type Used struct {
	Lease model.LeaseID
	Used  model.Shape
	At    time.Time
}

// Tick lets time-bound decisions happen.
type Tick struct{}

func (Configured) event()  {}
func (CellGained) event()  {}
func (CellLost) event()    {}
func (WorkerFound) event() {}
func (Submitted) event()   {}
func (Cancelled) event()   {}
func (Started) event()     {}
func (BeginFailed) event() {}
func (Ended) event()       {}
func (WorkerSeen) event()  {}
func (Used) event()        {}
func (Tick) event()        {}
