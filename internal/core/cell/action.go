package cell

import (
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// Action is what a cell wants done.
type Action interface{ action() }

// Start orders a worker to start a run.
type Start struct {
	Order external.StartOrder
	// Waited is how long the task waited since it could first run.
	Waited time.Duration
	// Repeat is how often the order was sent before without an answer.
	Repeat int
}

// Stop orders a worker to stop a run.
type Stop struct {
	Order  external.StopOrder
	Reason Reason
}

// Hold renews a worker's lease and asks for its lists.
type Hold struct {
	Order external.HoldOrder
	// Issue numbers holds in the order in which they are sent.
	Issue int64
}

// Persist makes progress durable. One batch is under way at a time.
type Persist struct {
	Batch    int64
	Progress []JobProgress
	// Roster, if not nil, replaces the durable list of the workers in use.
	Roster []RosterEntry
	// Forget lists jobs whose records are dropped.
	Forget []job.ID
}

// RosterEntry names a worker that runs may be on.
type RosterEntry struct {
	ID   external.WorkerID `cbor:"1,keyasint"`
	Addr string            `cbor:"2,keyasint"`
	// Draining workers said that they would leave.
	Draining bool `cbor:"3,keyasint,omitempty"`
}

// JobProgress is the progress of one job.
type JobProgress struct {
	ID       job.ID
	Progress job.Progress
}

// Deposed says that a worker knows a higher term.
type Deposed struct{ Worker external.WorkerID }

// RunEnded reports that a run is over, for the log.
type RunEnded struct {
	Task   job.TaskID
	Run    int64
	Worker external.WorkerID
	How    external.EndReason
	// Age is how long ago the run was ordered.
	Age time.Duration
}

// JobEnded reports a job's outcome, for the log.
type JobEnded struct {
	ID      job.ID
	Outcome job.Outcome
	// Age is how long ago the job was submitted, Objective the time that it should
	// take at most.
	Age       time.Duration
	Objective time.Duration
	History   History
}

// WorkerNoted reports a change of what is believed of a worker, for the log.
type WorkerNoted struct {
	Worker external.WorkerID
	Note   string
	// Runs is how many runs are on the worker.
	Runs int
}

func (Start) action()       {}
func (Stop) action()        {}
func (Hold) action()        {}
func (Persist) action()     {}
func (Deposed) action()     {}
func (RunEnded) action()    {}
func (JobEnded) action()    {}
func (WorkerNoted) action() {}

// Reason says why a run is stopped.
type Reason string

// The reasons for which runs are stopped.
const (
	ReasonCancelled Reason = "job cancelled"
	ReasonFailed    Reason = "job failed"
	ReasonDoubt     Reason = "start without an answer"
	ReasonOrphan    Reason = "no task of a known job"
	ReasonDone      Reason = "task ended elsewhere"
	ReasonGang      Reason = "another member of the gang is gone"
	ReasonPreempted Reason = "room for urgent work"
	ReasonStalled   Reason = "no progress"
	ReasonDrain     Reason = "worker drains"
	ReasonSlow      Reason = "worker is slow"
)

// The ends of runs that no worker lists.
const (
	// EndedBarred means that the worker will never start the run.
	EndedBarred external.EndReason = "barred"
	// EndedLost means that the worker or its lease is certainly gone.
	EndedLost external.EndReason = "lost"
	// EndedRefused means that the worker refused the start.
	EndedRefused external.EndReason = "refused"
)
