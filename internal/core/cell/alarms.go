package cell

import (
	"time"

	"coltsfootmux/internal/job"
)

// AlarmCode names a condition that needs an operator.
type AlarmCode string

// The alarms. One about a job is raised once for each job; AlarmGuaranteeUnmet,
// AlarmWorkersUnreached and AlarmCellFull are raised again only after they were over in between.
const (
	// AlarmReclaimLate means that urgent work within its account's guarantee has
	// waited longer than Settings.ReclaimWithin.
	AlarmReclaimLate AlarmCode = "reclaim_late"
	// AlarmGuaranteeUnmet means that the available workers have fewer accelerators
	// than the accounts are guaranteed in total.
	AlarmGuaranteeUnmet AlarmCode = "guarantee_unmet"
	// AlarmNoWorkerFits means that no worker of the pool is large enough for a task.
	AlarmNoWorkerFits AlarmCode = "no_worker_fits"
	// AlarmJobLate means that a job is so late that its completion is of no more use.
	AlarmJobLate AlarmCode = "job_late"
	// AlarmWorkersUnreached means that a quarter or more of the workers that the owner has lately
	// tried don't answer it.
	AlarmWorkersUnreached AlarmCode = "workers_unreached"
	// AlarmCellFull means that tasks of accepted jobs are put off for want of memory.
	AlarmCellFull AlarmCode = "cell_full"
	// AlarmProgressRefused means that a job was ended as failed, as the store refuses its progress.
	AlarmProgressRefused AlarmCode = "progress_refused"
)

// Alarm notifies operators of a condition.
type Alarm struct {
	Code    AlarmCode
	Job     job.ID
	Account string
	// Waited is how long ago the job was submitted.
	Waited time.Duration
	// Have and Need are numbers of accelerators, for AlarmGuaranteeUnmet, or of workers that
	// answer and that were tried, for AlarmWorkersUnreached, or of open tasks and of those with
	// what is put off, for AlarmCellFull.
	Have int
	Need int
}

func (Alarm) action() {}

const (
	// guaranteeCheckInterval is how often the guarantees are compared with the
	// workers' capacity.
	guaranteeCheckInterval = time.Second
	// minShortageTime is how long capacity must be short before an alarm is raised:
	// worker entries that expired while the store was down are back within about 2 s
	// of its return, and workers that restart within another 2 s.
	minShortageTime = 5 * time.Second
)

// alarmSet holds the alarms that have been raised about a job.
type alarmSet map[AlarmCode]bool

// alarm raises an alarm about a job unless it was raised before.
func (c *Core) alarm(e *jobEntry, code AlarmCode) {
	if e.raisedAlarms[code] {
		return
	}
	if e.raisedAlarms == nil {
		e.raisedAlarms = make(alarmSet)
	}
	e.raisedAlarms[code] = true
	c.emit(Alarm{Code: code, Job: e.job.ID, Account: e.job.Account, Waited: c.age(e)})
}

// age returns how long ago a job was submitted.
func (c *Core) age(e *jobEntry) time.Duration {
	return time.Duration(c.now.UnixMS-e.job.SubmittedMS) * time.Millisecond
}

// checkAlarms raises the alarms that are due for a group that finds no place.
func (c *Core) checkAlarms(g *rankedGroup) {
	e := g.occ.entry
	if g.rank.Stale {
		c.alarm(e, AlarmJobLate)
	}
	within := c.settings.ReclaimWithin
	if within > 0 && g.rank.Entitled && len(g.step.After) == 0 && c.age(e) > within {
		c.alarm(e, AlarmReclaimLate)
	}
}

// checkGuarantees compares the accelerators guaranteed to accounts with those of the
// available workers, once every worker that is expected to answer has done so.
func (c *Core) checkGuarantees() {
	if c.now.Mono < c.nextGuaranteeCheck || !c.previousRunsKnown() {
		return
	}
	c.nextGuaranteeCheck = c.now.Mono + guaranteeCheckInterval
	need, have := 0, 0
	for i := range c.policy.Accounts {
		need += c.policy.Accounts[i].GuaranteedGPU
	}
	for _, w := range c.fleet {
		if w.listed && !w.Draining && !w.placeDrained && w.holdFailures == 0 {
			have += w.Capacity.GPU
		}
	}
	c.reportShortage(have, need)
}

// reportShortage raises an alarm once the accelerators have been too few for
// minShortageTime.
func (c *Core) reportShortage(have, need int) {
	switch {
	case need <= have:
		c.shortageSince, c.shortageReported = 0, false
	case c.shortageSince == 0:
		c.shortageSince = c.now.Mono
	case !c.shortageReported && c.now.Mono-c.shortageSince >= minShortageTime:
		c.shortageReported = true
		c.emit(Alarm{Code: AlarmGuaranteeUnmet, Have: have, Need: need})
	}
}
