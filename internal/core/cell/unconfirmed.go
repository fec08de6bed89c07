package cell

import (
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// ResolvedRunning is the result of a StartResolved whose run is running.
const ResolvedRunning external.EndReason = "running"

// StartResolved reports the outcome of a start order that was unknown until now, for
// the log.
type StartResolved struct {
	Task   job.TaskID
	Run    int64
	Worker external.WorkerID
	// Result is ResolvedRunning, or the reason for which the run ended.
	Result external.EndReason
	// Took is how long the outcome was unknown.
	Took time.Duration
}

func (StartResolved) action() {}

// markUnconfirmed records that it is unknown whether a run was started.
func (c *Core) markUnconfirmed(r *run) {
	r.state = runUnconfirmed
	if r.unconfirmedSince == 0 {
		r.unconfirmedSince = c.now.Mono
	}
}

// resolveStart reports the outcome of a run's start if it was unknown.
func (c *Core) resolveStart(r *run, result external.EndReason) {
	if r.unconfirmedSince == 0 {
		return
	}
	c.emit(StartResolved{Task: r.task, Run: r.number, Worker: r.worker.ID, Result: result, Took: c.now.Mono - r.unconfirmedSince})
	r.unconfirmedSince = 0
}
