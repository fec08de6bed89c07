package cell

import (
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// SettledRunning is how a doubt ends when the worker lists the run.
const SettledRunning external.EndReason = "running"

// DoubtSettled reports what became of a start that had no answer.
type DoubtSettled struct {
	Task   job.TaskID
	Run    int64
	Worker external.WorkerID
	// How is SettledRunning or how the run ended.
	How external.EndReason
	// Took is how long it was not known.
	Took time.Duration
}

func (DoubtSettled) action() {}

// enterDoubt marks a start of which it is not known whether it was carried out.
func (c *Core) enterDoubt(r *run) {
	r.state = runDoubt
	if r.doubted == 0 {
		r.doubted = c.now.Mono
	}
}

// settleDoubt reports what became of a start in doubt.
func (c *Core) settleDoubt(r *run, how external.EndReason) {
	if r.doubted == 0 {
		return
	}
	c.act(DoubtSettled{Task: r.task, Run: r.number, Worker: r.worker.ID, How: how, Took: c.now.Mono - r.doubted})
	r.doubted = 0
}
