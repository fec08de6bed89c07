package external

import (
	"context"
	"time"

	"coltsfootmux/internal/job"
)

// WorkerID identifies a worker in the store's list of workers.
type WorkerID string

// Worker is a worker's entry in the store's list of workers.
type Worker struct {
	ID       WorkerID
	Addr     string
	Pool     string
	Zone     string
	Capacity job.Resources
	Labels   []string
	// Rack is the label that names the worker's rack; empty if it has none.
	Rack string
	// StartedMS is the start of this incarnation of the worker in Unix milliseconds.
	StartedMS int64
	Draining  bool
	// Machine names the machine on which the worker runs. In the course of time a machine
	// runs several workers, one after the other.
	Machine string
	// DrainTimeLeft is the least time that a draining worker will stay.
	DrainTimeLeft time.Duration
}

// OrderHeader holds the fields of every order to a worker.
type OrderHeader struct {
	Worker WorkerID
	Addr   string
	// FencingToken is the caller's term. A worker refuses orders with a lower token
	// than the highest that it has seen.
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
	// Checkpoint, if not empty, is the checkpoint from which the run resumes.
	Checkpoint string
	// Ticket is the advice service's permission for this step and worker; empty if
	// the queue needs no advice.
	Ticket string
}

// PaceOrder sets the speed of one run.
type PaceOrder struct {
	OrderHeader
	Task job.TaskID
	Run  int64
	// Percent is the part of the full speed, from 0 to 100.
	Percent int
}

// Advice is the advice service's answer for a step.
type Advice struct {
	// Tickets holds a ticket for each worker that may run the step.
	Tickets map[WorkerID]string
	// ValidFor is how long the tickets are valid.
	ValidFor time.Duration
}

// StopOrder stops one run of a task.
type StopOrder struct {
	OrderHeader
	Task job.TaskID
	Run  int64
}

// HoldOrder renews a worker's lease, acknowledges ended runs and asks for the lists
// of active and ended runs.
type HoldOrder struct {
	OrderHeader
	// Acknowledge is the number of the last ended run that the worker may forget.
	Acknowledge int64
	// LeaseEnd is when the renewed lease ends, on the worker's clock; with 0 the
	// lease is not renewed.
	LeaseEnd time.Duration
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// ActiveRun is an entry of a worker's list of active runs.
type ActiveRun struct {
	Task job.TaskID
	Run  int64
	// Checkpoint is the latest checkpoint.
	Checkpoint string
	// Percent is the run's speed as a part of its full speed.
	Percent int
	// Measurement covers the last half second: for a serving task the tail latency
	// in milliseconds, for any other the CPU use in thousandths of a core.
	Measurement int
}

// EndedRun is an entry of a worker's list of ended runs.
type EndedRun struct {
	// Number numbers the ended runs of this incarnation of the worker, from 1.
	Number     int64
	Task       job.TaskID
	Run        int64
	Reason     EndReason
	Checkpoint string
}

// EndReason says why a run ended.
type EndReason string

// The reasons for which a run ends. EndedGangBroken means that another run of its
// gang ended, EndedGangIncomplete that the other runs of its gang did not start in
// time.
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
	// RefusedStaleRun means that a run of the task with the same or a higher number
	// was stopped or has ended on the worker.
	RefusedStaleRun Refusal = "old"
	// RefusedLeaseExpired means that the order's LeaseEnd had passed.
	RefusedLeaseExpired Refusal = "late"
	// RefusedCapacity means that the task does not fit into the worker's capacity.
	RefusedCapacity Refusal = "room"
	// RefusedTicket means that the order's ticket is missing or has expired.
	RefusedTicket Refusal = "ticket"
	// RefusedUnhealthy means that the worker accepts no work for now.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedOtherIncarnation means that another incarnation of the worker answered.
	RefusedOtherIncarnation Refusal = "other-life"
	// RefusedInvalid means that the worker can't interpret the order.
	RefusedInvalid Refusal = "invalid"
)

// OrderResult is a worker's answer to an order.
type OrderResult struct {
	// Clock is the worker's monotonic clock when it answered; 0 if it sent none.
	Clock   time.Duration
	Refusal Refusal
}

// HoldResult is a worker's answer to a HoldOrder.
type HoldResult struct {
	Clock     time.Duration
	StartedMS int64
	Refusal   Refusal
	// Running holds all active runs. Ended holds the ended runs after HoldOrder.Acknowledge, in
	// the order of their numbers; MoreEnds says that the worker may have ended runs after the
	// last of them, which it lists once these are acknowledged.
	Running  []ActiveRun
	Ended    []EndedRun
	MoreEnds bool
}

// Workers sends orders to workers. Errors: ErrFenced, ErrOutcomeUnknown, and
// ErrNotExecuted if the order certainly did not reach the worker.
type Workers interface {
	Start(ctx context.Context, o StartOrder) (OrderResult, error)
	Stop(ctx context.Context, o StopOrder) (OrderResult, error)
	Hold(ctx context.Context, o HoldOrder) (HoldResult, error)
	Pace(ctx context.Context, o PaceOrder) (OrderResult, error)
	// Probe returns nil if anything answers at a worker's address. It has no effect on the worker.
	Probe(ctx context.Context, id WorkerID, addr string) error
}

// AdviceService decides which workers may run a step of a queue that needs advice. Its
// errors are those of Workers.
type AdviceService interface {
	Advise(ctx context.Context, step job.TaskID, workers []WorkerID) (Advice, error)
}
