package cell

import (
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// Event is what happened to a cell.
type Event interface{ event() }

// Loaded gives what the store holds at the time of a take-over.
type Loaded struct {
	// Jobs may hold a job more than once; the first counts.
	Jobs     []job.Job
	Cancels  []job.ID
	Progress map[job.ID]job.Progress
	// Workers are the entries of the list, Roster those that the owner before
	// may have used; entries can be missing from the list for a while.
	Workers []external.Worker
	Roster  []RosterEntry
}

// Submitted is a job that has been accepted.
type Submitted struct{ Job job.Job }

// CancelRequested is a cancellation that has been accepted.
type CancelRequested struct{ ID job.ID }

// WorkerChanged is a new entry in the list of workers.
type WorkerChanged struct{ Worker external.Worker }

// WorkerUnlisted is an entry that left the list or can't be read any more.
type WorkerUnlisted struct{ ID external.WorkerID }

// PolicyChanged is a new policy in force.
type PolicyChanged struct{ Policy *job.Policy }

// Started is the answer to a Start.
type Started struct {
	Task    job.TaskID
	Run     int64
	Worker  external.WorkerID
	Refusal external.Refusal
	Clock   time.Duration
	// Failure is FailureNone when the worker answered.
	Failure Failure
}

// Stopped is the answer to a Stop.
type Stopped struct {
	Task    job.TaskID
	Run     int64
	Worker  external.WorkerID
	Refusal external.Refusal
	Failure Failure
}

// Listed is the answer to a Hold.
type Listed struct {
	Worker external.WorkerID
	// Issue is the Hold's own number.
	Issue   int64
	Lists   external.HoldResult
	Failure Failure
}

// Committed says that a Persist is durable.
type Committed struct{ Batch int64 }

// TermProven says that no later term existed at At.
type TermProven struct{ At time.Duration }

// Tick passes time.
type Tick struct{}

func (Loaded) event()          {}
func (Submitted) event()       {}
func (CancelRequested) event() {}
func (WorkerChanged) event()   {}
func (WorkerUnlisted) event()  {}
func (PolicyChanged) event()   {}
func (Started) event()         {}
func (Stopped) event()         {}
func (Listed) event()          {}
func (Committed) event()       {}
func (TermProven) event()      {}
func (Tick) event()            {}
