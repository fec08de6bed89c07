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
	// BornMS is the Unix millisecond of the start of this life of the worker.
	BornMS   int64
	Draining bool
	// Machine names the machine of which the worker is one life.
	Machine string
	// LeavesIn is the least time left to a draining worker.
	LeavesIn time.Duration
}

// Call is what every order to a worker carries.
type Call struct {
	Worker WorkerID
	Addr   string
	// Fence is the caller's term; workers do nothing for lower ones.
	Fence int64
}

// StartOrder starts one run of a task.
type StartOrder struct {
	Call
	Task job.TaskID
	Run  int64
	Spec string
	// Until is when the worker's lease ends, on the worker's clock.
	Until time.Duration
	// Checkpoint, if not empty, is where the run resumes.
	Checkpoint string
	// Ticket is the adviser's word for this step and worker; empty where the queue
	// needs none.
	Ticket string
}

// PaceOrder lets one run work at a share of its speed.
type PaceOrder struct {
	Call
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
	Call
	Task job.TaskID
	Run  int64
}

// HoldOrder renews a worker's lease, acknowledges ends and asks for its lists.
type HoldOrder struct {
	Call
	// Acknowledge is the number of the last end that the worker may forget.
	Acknowledge int64
	// Until is when the lease ends, on the worker's clock; 0 renews nothing.
	Until time.Duration
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Running is one run that a worker lists.
type Running struct {
	Task job.TaskID
	Run  int64
	// Saved is the latest checkpoint.
	Saved   string
	Percent int
	// Figure is the tail latency in milliseconds of a serving task, and the
	// processor use in thousandths of a core of any other, over the last half second.
	Figure int
}

// End is one ended run that a worker lists.
type End struct {
	// Number counts the ends of this life of the worker, from 1.
	Number int64
	Task   job.TaskID
	Run    int64
	How    How
	Saved  string
}

// How says why a run ended.
type How string

// The reasons for which a run ends. EndedBroken means that another member of
// its gang ended, EndedAlone that the others did not come in time.
const (
	EndedDone    How = "done"
	EndedFailed  How = "failed"
	EndedStopped How = "stopped"
	EndedLapsed  How = "lapsed"
	EndedBroken  How = "broken"
	EndedAlone   How = "alone"
)

// Refusal says why a worker did not start a run.
type Refusal string

// The reasons for which a worker refuses a run.
const (
	RefusedNone Refusal = ""
	// RefusedOld means that a run as high as this one was stopped or ended there.
	RefusedOld Refusal = "old"
	// RefusedLate means that the order's lease had ended.
	RefusedLate Refusal = "late"
	// RefusedRoom means that the task does not fit.
	RefusedRoom Refusal = "room"
	// RefusedTicket means that an advice ticket is missing or has lapsed.
	RefusedTicket Refusal = "ticket"
	// RefusedUnhealthy means that the worker takes no work for now.
	RefusedUnhealthy Refusal = "unhealthy"
	// RefusedOtherLife means that another incarnation of the worker answered.
	RefusedOtherLife Refusal = "other-life"
	// RefusedInvalid means that the worker can't understand the order.
	RefusedInvalid Refusal = "invalid"
)

// Report is a worker's answer to an order.
type Report struct {
	// Clock is the worker's steady clock when it answered; 0 if it gave none.
	Clock   time.Duration
	Refusal Refusal
}

// Lists is a worker's answer to a hold.
type Lists struct {
	Clock   time.Duration
	BornMS  int64
	Refusal Refusal
	Running []Running
	Ended   []End
}

// Workers drives workers. Errors: ErrFenced, ErrUnclear, and ErrNotDone when
// the worker was provably not reached.
type Workers interface {
	Start(ctx context.Context, o StartOrder) (Report, error)
	Stop(ctx context.Context, o StopOrder) (Report, error)
	Hold(ctx context.Context, o HoldOrder) (Lists, error)
	Pace(ctx context.Context, o PaceOrder) (Report, error)
}

// Adviser says which workers may run a step of an advised queue. Errors as of Workers.
type Adviser interface {
	Advise(ctx context.Context, step job.TaskID, workers []WorkerID) (Advice, error)
}
