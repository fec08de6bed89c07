package cell

import (
	"time"

	"coltsfootmux/internal/job"
)

// AlarmCode says what an operator should look at.
type AlarmCode string

// The alarms. Each is raised once a job, or once until what it is about has been
// well again.
const (
	// AlarmReclaimLate: urgent work inside its account's guarantee still waits for
	// room after the time in which it must have it.
	AlarmReclaimLate AlarmCode = "reclaim_late"
	// AlarmGuaranteeUnmet: the workers that may be used have fewer accelerators
	// than the accounts are guaranteed.
	AlarmGuaranteeUnmet AlarmCode = "guarantee_unmet"
	// AlarmNoWorkerFits: no worker of the pool could hold a waiting task.
	AlarmNoWorkerFits AlarmCode = "no_worker_fits"
	// AlarmJobLate: a job is so late that its completion is of no more use.
	AlarmJobLate AlarmCode = "job_late"
)

// Alarm is for operators.
type Alarm struct {
	Code    AlarmCode
	Job     job.ID
	Account string
	// Waited is how long the job is open.
	Waited time.Duration
	// Have and Need are in accelerators, of AlarmGuaranteeUnmet.
	Have int
	Need int
}

func (Alarm) action() {}

const (
	// guaranteeCheckInterval is how often the guarantees are held against the workers.
	guaranteeCheckInterval = time.Second
	// minShortageTime is how long workers must be too few before it is worth an alarm:
	// entries that lapsed with the store are back within about 2 s of its return,
	// and workers that restart within as much again.
	minShortageTime = 5 * time.Second
)

// alarmSet are those of a job that have been raised.
type alarmSet map[AlarmCode]bool

// alarm raises an alarm about a job once.
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

// age is how long a job is open.
func (c *Core) age(e *jobEntry) time.Duration {
	return time.Duration(c.now.UnixMS-e.job.SubmittedMS) * time.Millisecond
}

// checkAlarms raises the alarms about a group that finds no place.
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

// checkGuarantees holds what accounts are guaranteed against the usable workers.
// It says nothing before every worker has been heard of.
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
		if w.listed && !w.Draining && w.holdFailures == 0 {
			have += w.Capacity.GPU
		}
	}
	c.reportShortage(have, need)
}

// reportShortage raises the alarm once the workers have been too few for a while.
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
