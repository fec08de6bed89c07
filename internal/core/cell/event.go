package cell

import (
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// Event is an input of Core.Step.
type Event interface{ event() }

// Loaded is the first event of a term: the contents of the store at the takeover.
type Loaded struct {
	// Jobs may contain a job more than once; the first one counts.
	Jobs     []job.Job
	Cancels  []job.ID
	Progress map[job.ID]job.Progress
	// Workers holds the entries of the list of workers, Roster the workers that the
	// previous owner may have used. The list can lack entries for a while.
	Workers []external.Worker
	Roster  []RosterEntry
	// Incomplete says that some submissions and cancellations could not be read;
	// JobsLoaded delivers them later.
	Incomplete bool
	// TermConfirmedAt is the time as of which the term is confirmed, at least that of the
	// claim; 0 for the time of the event.
	TermConfirmedAt time.Duration
	// EarlierUntil is until when owners of earlier terms may renew leases, as in EarlierOwnersEnd.
	EarlierUntil time.Duration
}

// JobsLoaded delivers submissions and cancellations from before the term that could
// not be read at the takeover.
type JobsLoaded struct {
	Jobs    []job.Job
	Cancels []job.ID
	// Complete says that none are missing any more.
	Complete bool
}

// Submitted reports a job that has been accepted.
type Submitted struct{ Job job.Job }

// CancelRequested reports a cancellation that has been accepted.
type CancelRequested struct{ ID job.ID }

// WorkerChanged reports a new or changed entry in the list of workers.
type WorkerChanged struct{ Worker external.Worker }

// WorkerUnlisted reports that a worker's entry was removed from the list or can no
// longer be read.
type WorkerUnlisted struct{ ID external.WorkerID }

// PolicyChanged reports that a new policy is in force.
type PolicyChanged struct{ Policy *job.Policy }

// DrainsChanged reports which data centres are drained now.
type DrainsChanged struct{ DataCentres []string }

// StartAnswered is the answer to a Start.
type StartAnswered struct {
	Task    job.TaskID
	Run     int64
	Worker  external.WorkerID
	Refusal external.Refusal
	// Clock is the worker's clock at its answer.
	Clock time.Duration
	// Failure is FailureNone if the worker answered.
	Failure Failure
}

// StopAnswered is the answer to a Stop.
type StopAnswered struct {
	Task    job.TaskID
	Run     int64
	Worker  external.WorkerID
	Refusal external.Refusal
	Failure Failure
}

// HoldAnswered is the answer to a Hold.
type HoldAnswered struct {
	Worker external.WorkerID
	// Number is the sequence number of the Hold.
	Number  int64
	Lists   external.HoldResult
	Failure Failure
}

// Persisted reports that the batch of a Persist is durable, but for what the store will never take.
type Persisted struct {
	Batch int64
	// Refused lists the jobs whose progress the store refuses, whatever else it takes.
	Refused []job.ID
	// RosterRefused says that it refuses the roster.
	RosterRefused bool
}

// EarlierOwnersEnd says that owners of earlier terms renew leases no longer than until At, or until
// PreviousOwnerGrace after the takeover if that is later. The latest one counts.
type EarlierOwnersEnd struct{ At time.Duration }

// TermConfirmed reports that no later term existed at the time At.
type TermConfirmed struct{ At time.Duration }

// Tick reports that time has passed. Timeouts are processed on ticks.
type Tick struct {
	// Lag is how late this process runs its own work at present.
	Lag time.Duration
}

func (Loaded) event()           {}
func (JobsLoaded) event()       {}
func (Submitted) event()        {}
func (CancelRequested) event()  {}
func (WorkerChanged) event()    {}
func (WorkerUnlisted) event()   {}
func (PolicyChanged) event()    {}
func (DrainsChanged) event()    {}
func (StartAnswered) event()    {}
func (StopAnswered) event()     {}
func (HoldAnswered) event()     {}
func (Persisted) event()        {}
func (TermConfirmed) event()    {}
func (EarlierOwnersEnd) event() {}
func (Tick) event()             {}
