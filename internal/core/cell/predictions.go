package cell

import (
	"time"

	"coltsfootmux/internal/core/predict"
	"coltsfootmux/internal/job"
)

// runTimes returns what is known of the run times of a queue.
func (c *Core) runTimes(queue string) *predict.Queue {
	q := c.runTimesByQueue[queue]
	if q == nil {
		q = &predict.Queue{}
		c.runTimesByQueue[queue] = q
	}
	return q
}

// predictRunTime returns the predicted run time of a step's tasks.
func (e *jobEntry) predictRunTime(s *job.Step) predict.Prediction {
	return e.runTimes.Predict(s.Estimate())
}

// runTime returns the run time of a step's tasks that is exceeded as often as not.
func (e *jobEntry) runTime(s *job.Step) time.Duration { return e.predictRunTime(s).Middle() }

// longRunTime returns a run time of a step's tasks that is seldom exceeded.
func (e *jobEntry) longRunTime(s *job.Step) time.Duration { return e.predictRunTime(s).High() }

// expectedObjective returns how long after it is due an occurrence should have ended, as
// far as its run time can be told.
func (e *jobEntry) expectedObjective() time.Duration {
	return e.job.ObjectiveFor(e.job.CriticalPath(e.runTime))
}

// latestObjective returns the longest that the objective may well be. Work is given up as
// too late only by this one.
func (e *jobEntry) latestObjective() time.Duration {
	return e.job.ObjectiveFor(e.job.CriticalPath(e.longRunTime))
}

// runTime returns the predicted run time of the group's tasks.
func (g *taskGroup) runTime() time.Duration { return g.occ.entry.runTime(g.step) }

// recordRunTime records how long a run took that ended well, if it began without a
// checkpoint and near its data. Only the first member of a gang to end is recorded.
func (c *Core) recordRunTime(r *run) {
	g := r.unit.group
	if r.startedAt == 0 || r.resumed || g.step.LongRunning {
		return
	}
	if g.step.DataRack != "" && r.worker.Rack != g.step.DataRack {
		return // takes longer by a factor that is only nominal
	}
	g.occ.entry.runTimes.Ended(g.step.Estimate(), scaled(c.now.Mono-r.startedAt, 1/r.timeFactor()))
}
