package cell

import (
	"time"

	"coltsfootmux/internal/core/termination"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// Action is an instruction to the caller of Core.Step.
type Action interface{ action() }

// Start asks for a start order to be sent to a worker.
type Start struct {
	Order external.StartOrder
	// DecidedAt is when the order was decided, SendBy the time until which it may be sent, 0 for no bound.
	DecidedAt, SendBy time.Duration
	// Waited is how long the task waited after it became ready to run.
	Waited time.Duration
	// Resends is how many times the order was sent before, without an answer.
	Resends int
	// TermAge is how long ago the term was last confirmed.
	TermAge time.Duration
}

// Stop asks for a stop order to be sent to a worker.
type Stop struct {
	Order  external.StopOrder
	Reason StopReason
}

// Hold asks for a hold to be sent to a worker: a call that renews the worker's
// lease, acknowledges ended runs and requests the lists of active and ended runs.
type Hold struct {
	Order external.HoldOrder
	// Number is the hold's sequence number; later holds have higher numbers.
	Number int64
}

// Persist asks for a batch of progress to be written to the store. At most one
// batch is in flight at a time.
type Persist struct {
	Batch    int64
	Progress []JobProgress
	// Roster, if not nil, replaces the stored list of the workers in use.
	Roster []RosterEntry
	// Delete lists the jobs whose records are to be deleted.
	Delete []job.ID
}

// RosterEntry identifies a worker that may have runs.
type RosterEntry struct {
	ID   external.WorkerID `cbor:"1,keyasint"`
	Addr string            `cbor:"2,keyasint"`
	// Draining is set when the worker has announced that it will leave.
	Draining bool `cbor:"3,keyasint,omitempty"`
	// Machine names the worker's machine, SpeedPercent is the time factor in percent; both
	// are empty if not known.
	Machine      string `cbor:"4,keyasint,omitempty"`
	SpeedPercent int    `cbor:"5,keyasint,omitempty"`
	// Vacant is set for a draining worker that has no runs and gets none before a later
	// roster says otherwise.
	Vacant bool `cbor:"6,keyasint,omitempty"`
	// RunsKnown is set for a worker that has been silent: it has no runs but Runs, and gets none
	// before a later roster says otherwise.
	RunsKnown bool        `cbor:"7,keyasint,omitempty"`
	Runs      []RosterRun `cbor:"8,keyasint,omitempty"`
	// FirstStartedMS is the start, in Unix milliseconds, of the first incarnation of the worker that was known;
	// 0 if none was. Another start in the worker's own entry tells that it has restarted.
	FirstStartedMS int64 `cbor:"9,keyasint,omitempty"`
}

// RosterRun is a run that a worker may have.
type RosterRun struct {
	Task job.TaskID `cbor:"1,keyasint"`
	Run  int64      `cbor:"2,keyasint"`
}

// JobProgress is the progress of one job.
type JobProgress struct {
	ID       job.ID
	Progress job.Progress
}

// HigherTermSeen reports that a worker knows a higher term, so that this owner's term
// is over.
type HigherTermSeen struct{ Worker external.WorkerID }

// RunEnded reports the end of a run, for the log.
type RunEnded struct {
	Task      job.TaskID
	Run       int64
	Worker    external.WorkerID
	EndReason external.EndReason
	// Proof says why a run with the reason EndedLost is certainly over.
	Proof termination.Proof
	// Age is how long ago the run was ordered.
	Age time.Duration
}

// JobEnded reports a job's outcome, for the log.
type JobEnded struct {
	ID      job.ID
	Queue   job.Queue
	Outcome job.Outcome
	// Age is the time since the job was submitted; Objective is the time in which
	// the job should complete, by the run times of its queue.
	Age       time.Duration
	Objective time.Duration
	History   History
}

// WorkerStateChanged reports a change in the state of a worker as the cell knows it,
// for the log.
type WorkerStateChanged struct {
	Worker external.WorkerID
	// Change describes the change.
	Change string
	// Runs is the number of runs on the worker.
	Runs int
}

// GangStarted reports, for the log, that all members of a gang are known to run.
type GangStarted struct {
	// Task is the first member, Tasks how many there are.
	Task  job.TaskID
	Tasks int
	Run   int64
	// Took is the time since they were ordered.
	Took time.Duration
}

func (Start) action()              {}
func (Stop) action()               {}
func (Hold) action()               {}
func (GangStarted) action()        {}
func (Persist) action()            {}
func (HigherTermSeen) action()     {}
func (RunEnded) action()           {}
func (JobEnded) action()           {}
func (WorkerStateChanged) action() {}

// StopReason says why a run is stopped.
type StopReason string

// Reasons for stopping runs.
const (
	ReasonCancelled   StopReason = "job cancelled"
	ReasonFailed      StopReason = "job failed"
	ReasonUnstorable  StopReason = "progress of the job can't be stored"
	ReasonUnconfirmed StopReason = "start without an answer"
	ReasonUnknownTask StopReason = "unknown task"
	ReasonTaskEnded   StopReason = "task ended elsewhere"
	ReasonGangBroken  StopReason = "another member of the gang ended"
	ReasonGangLate    StopReason = "gang not complete in time"
	ReasonPreempted   StopReason = "preempted by other work"
	ReasonStalled     StopReason = "no progress"
	ReasonDraining    StopReason = "worker is draining"
	ReasonSlow        StopReason = "worker is slow"
)

// End reasons that the cell concludes itself; no worker lists them.
const (
	// EndedBarred means that the worker has acknowledged a stop and does not run the
	// task, so that it will never start this run.
	EndedBarred external.EndReason = "barred"
	// EndedLost means that the run can no longer be running: its worker has left or
	// restarted, the lease has expired, or the worker's lists no longer show the run.
	EndedLost external.EndReason = "lost"
	// EndedRefused means that the start was certainly not carried out.
	EndedRefused external.EndReason = "refused"
)
