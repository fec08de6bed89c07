package ledger

import (
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Event is what can happen to a Core.
type Event interface{ event() }

// Waiter names a caller's connection that waits for a result.
type Waiter uint64

// Configured brings a configuration into force.
type Configured struct{ Config *config.Versioned }

// GroupGained says that this scheduler may start keyed work of a group: old
// holds have lapsed, and what the workers and the log know of it is at hand.
type GroupGained struct {
	Group model.GroupID
	Epoch model.Epoch
	// Outcomes are those read from the log.
	Outcomes []Recorded
	Found    []Found
	// Gap is the time before which a key may have run without trace. Keys that
	// were provably made later are new. Zero when the history is whole.
	Gap time.Time
	// Unbroken says that nobody else can have owned the group since HoldsLapsed.
	// Otherwise work that was not sent is sent on: an owner in between may have
	// told its caller not_run.
	Unbroken bool
}

// Recorded is an outcome as kept on the log.
type Recorded struct {
	Result  model.Result  `json:"result"`
	Account model.Account `json:"account"`
	Sum     uint64        `json:"sum"`
	At      time.Time     `json:"at"`
}

// Found is one trace of a key on a worker.
type Found struct {
	Worker  model.WorkerID
	Cell    model.CellID
	Lease   model.LeaseID
	Label   platform.Label
	Started bool
	// Ending is set when the task has ended.
	Ending *platform.Ending
}

// WorkerJoined brings what a worker knew that could not be reached when its
// group was gained, and what is left of the gap.
type WorkerJoined struct {
	Group model.GroupID
	Found []Found
	Gap   time.Time
}

// GroupLost says that another scheduler owns the group now.
type GroupLost struct{ Group model.GroupID }

// HoldsLapsed says that the group's holds can't be renewed: no keyed start
// until GroupGained comes again.
type HoldsLapsed struct{ Group model.GroupID }

// Submitted is a caller's request, first or repeated.
type Submitted struct {
	Work   model.Work
	Sum    uint64
	Waiter Waiter
	// Epoch is the group's epoch that the offer was made under; 0 when not told.
	// One made under another epoch is sent on: its caller may have been told
	// not_run by an owner in between.
	Epoch model.Epoch
}

// Accepted is a job whose record is on the log. Nobody waits for it, and its
// outcome is recorded in every case.
type Accepted struct {
	Work model.Work
	Sum  uint64
}

// WaiterGone says that a caller's connection is closed.
type WaiterGone struct{ Waiter Waiter }

// Begun says that the starts of an attempt are about to be sent.
type Begun struct {
	Key     model.Key
	Attempt int
	Parts   []Trace
}

// Trace is where one member of an attempt may have left a trace.
type Trace struct {
	Worker model.WorkerID
	Cell   model.CellID
	Lease  model.LeaseID
}

// Answered brings the final ending of an attempt.
type Answered struct {
	Key     model.Key
	Attempt int
	Result  model.Result
}

// NotRun says that an attempt provably did not run. With ReasonOwnerLost, which
// says that workers refused its epochs, it is dispatched anew.
type NotRun struct {
	Key        model.Key
	Attempt    int
	Reason     model.Reason
	RetryAfter time.Duration
}

// Unclear says that an attempt may have run, or may run, without an answer at hand.
type Unclear struct {
	Key     model.Key
	Attempt int
	Reason  model.Reason
}

// Settled answers an Ask for one trace.
type Settled struct {
	Key     model.Key
	Attempt int
	Trace   Trace
	// Clear is false when the worker could not be asked.
	Clear bool
	// Barred says that the lease never started and never will.
	Barred bool
	// Running says that the task still runs.
	Running bool
	Ending  *platform.Ending
	// Since is how long ago the worker's incarnation began, as it answered.
	Since time.Duration
}

// Cancelled is a caller's wish to end its own work.
type Cancelled struct {
	Key     model.Key
	Account model.Account
	// Waiter gets the AnswerCancel.
	Waiter Waiter
}

// Tick lets time-bound decisions happen.
type Tick struct{}

func (Configured) event()   {}
func (GroupGained) event()  {}
func (WorkerJoined) event() {}
func (GroupLost) event()    {}
func (HoldsLapsed) event()  {}
func (Submitted) event()    {}
func (Accepted) event()     {}
func (WaiterGone) event()   {}
func (Begun) event()        {}
func (Answered) event()     {}
func (NotRun) event()       {}
func (Unclear) event()      {}
func (Settled) event()      {}
func (Cancelled) event()    {}
func (Tick) event()         {}
