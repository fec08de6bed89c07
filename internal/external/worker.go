package external

import (
	"context"
	"time"

	"coltsfootmux/internal/job"
)

// WorkerID names a worker in the store's list.
type WorkerID string

// Worker is a worker's entry in the store's list.
type Worker struct {
	ID       WorkerID
	Addr     string
	Pool     string
	Zone     string
	Capacity job.Resources
	Labels   []string
	// Rack is the label that names the worker's rack; empty when it has none.
	Rack string
	// StartedMS is the Unix millisecond of the start of this life of the worker.
	StartedMS int64
	Draining  bool
	// Machine names the machine of which the worker is one life.
	Machine string
	// DrainTimeLeft is the least time left to a draining worker.
	DrainTimeLeft time.Duration
}

// OrderHeader is what every order to a worker carries.
type OrderHeader struct {
	Worker WorkerID
	Addr   string
	// FencingToken is the caller's term; workers do nothing for lower ones.
	FencingToken int64
}

// StartOrder starts one run of a task.
type StartOrder struct {
	OrderHeader
	Task job.TaskID
	Run  int64
	Spec string
	// LeaseEnd is when the worker's lease ends, on the worker's clock.
	LeaseEnd time.Duration
	// Checkpoint, if not empty, is where the run resumes.
	Checkpoint string
	// Ticket is the adviser's word for this step and worker; empty where the queue
	// needs none.
	Ticket string
}

// PaceOrder lets one run work at a share of its speed.
type PaceOrder struct {
	OrderHeader
	Task job.TaskID
	Run  int64
	// Percent is from 0 to 100.
	Percent int
}

// Advice is what an adviser says of a step.
type Advice struct {
	// Tickets holds a ticket for each worker that may run the step.
	Tickets map[WorkerID]string
	// ValidFor is how long the tickets hold.
	ValidFor time.Duration
}

// StopOrder stops one run of a task.
type StopOrder struct {
	OrderHeader
	Task job.TaskID
	Run  int64
}

// HoldOrder renews a worker's lease, acknowledges ends and asks for its lists.
type HoldOrder struct {
	OrderHeader
	// Acknowledge is the number of the last end that the worker may forget.
	Acknowledge int64
	// LeaseEnd is when the lease ends, on the worker's clock; 0 renews nothing.
	LeaseEnd time.Duration
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// ActiveRun is one run that a worker lists.
type ActiveRun struct {
	Task job.TaskID
	Run  int64
	// Checkpoint is the latest checkpoint.
	Checkpoint string
	Percent    int
	// Measurement is the tail latency in milliseconds of a serving task, and the
	// processor use in thousandths of a core of any other, over the last half second.
	Measurement int
}

// EndedRun is one ended run that a worker lists.
type EndedRun struct {
	// Number counts the ends of this life of the worker, from 1.
	Number     int64
	Task       job.TaskID
	Run        int64
	Reason     EndReason
	Checkpoint string
}

// EndReason says why a run ended.
type EndReason string

// The reasons for which a run ends. EndedGangBroken means that another member of
// its gang ended, EndedGangIncomplete that the others did not come in time.
const (
	EndedDone           EndReason = "done"
	EndedFailed         EndReason = "failed"
	EndedStopped        EndReason = "stopped"
	EndedLeaseExpired   EndReason = "lapsed"
	EndedGangBroken     EndReason = "broken"
	EndedGangIncomplete EndReason = "alone"
)

// Refusal says why a worker did not start a run.
type Refusal string

// The reasons for which a worker refuses a run.
const (
	RefusedNone Refusal = ""
	// RefusedStaleRun means that a run as high as this one was stopped or ended there.
	RefusedStaleRun Refusal = "old"
	// RefusedLeaseExpired means that the order's lease had ended.
	RefusedLeaseExpired Refusal = "late"
	// RefusedCapacity means that the task does not fit.
	RefusedCapacity Refusal = "room"
	// RefusedTicket means that an advice ticket is missing or has lapsed.
	RefusedTicket Refusal = "ticket"
	// RefusedUnhealthy means that the worker takes no work for now.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedOtherIncarnation means that another incarnation of the worker answered.
	RefusedOtherIncarnation Refusal = "other-life"
	// RefusedInvalid means that the worker can't understand the order.
	RefusedInvalid Refusal = "invalid"
)

// OrderResult is a worker's answer to an order.
type OrderResult struct {
	// Clock is the worker's steady clock when it answered; 0 if it gave none.
	Clock   time.Duration
	Refusal Refusal
}

// HoldResult is a worker's answer to a hold.
type HoldResult struct {
	Clock     time.Duration
	StartedMS int64
	Refusal   Refusal
	Running   []ActiveRun
	Ended     []EndedRun
}

// Workers drives workers. Errors: ErrFenced, ErrUnclear, and ErrNotDone when
// the worker was provably not reached.
type Workers interface {
	Start(ctx context.Context, o StartOrder) (OrderResult, error)
	Stop(ctx context.Context, o StopOrder) (OrderResult, error)
	Hold(ctx context.Context, o HoldOrder) (HoldResult, error)
	Pace(ctx context.Context, o PaceOrder) (OrderResult, error)
}

// Adviser says which workers may run a step of an advised queue. Errors as of Workers.
type Adviser interface {
	Advise(ctx context.Context, step job.TaskID, workers []WorkerID) (Advice, error)
}
