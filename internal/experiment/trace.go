package experiment

import (
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// Trace is a named, seeded run of work and faults on a fleet.
type Trace struct {
	Name string
	Seed uint64
	Doc  *config.Document
	Jobs []Job
	// Losses are workers that go silent for a time.
	Losses []Loss
	// Bad are workers that fail everything they start for a time.
	Bad []Loss
	// Mixed marks a trace with small and large work at once.
	Mixed bool
}

// Job is one piece of work with the truth about it, which the core can't see.
type Job struct {
	At   time.Duration
	Work model.Work
	// Group names it in the report.
	Group string
	// Run is how long each member really runs.
	Run time.Duration
	// Checkpoint is how long a checkpoint takes; longer than the bound allows
	// for a task that has to be stopped.
	Checkpoint time.Duration
	// CancelAfter withdraws it so long after it was submitted; zero for never.
	CancelAfter time.Duration
	// Fails says that it fails wherever it runs.
	Fails bool
	// UsesFactor is its real use of processor time over the declared.
	UsesFactor float64
}

// Loss is a time in which a worker is out of order.
type Loss struct {
	Worker model.WorkerID
	From   time.Duration
	For    time.Duration
}
