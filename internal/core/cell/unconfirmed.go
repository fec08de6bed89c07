package cell

import (
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// ResolvedRunning is how a doubt ends when the worker lists the run.
const ResolvedRunning external.How = "running"

// StartResolved reports what became of a start that had no answer.
type StartResolved struct {
	Task   job.TaskID
	Run    int64
	Worker external.WorkerID
	// Result is SettledRunning or how the run ended.
	Result external.How
	// Took is how long it was not known.
	Took time.Duration
}

func (StartResolved) action() {}

// markUnconfirmed marks a start of which it is not known whether it was carried out.
func (c *Core) markUnconfirmed(r *run) {
	r.state = runUnconfirmed
	if r.unconfirmedSince == 0 {
		r.unconfirmedSince = c.now.Mono
	}
}

// resolveStart reports what became of a start in doubt.
func (c *Core) resolveStart(r *run, how external.How) {
	if r.unconfirmedSince == 0 {
		return
	}
	c.emit(StartResolved{Task: r.task, Run: r.number, Worker: r.worker.ID, Result: how, Took: c.now.Mono - r.unconfirmedSince})
	r.unconfirmedSince = 0
}
