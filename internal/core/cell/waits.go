package cell

import (
	"time"

	"coltsfootmux/internal/job"
)

// minWaitReport is the wait after which it is reported why a unit waits; each
// further report comes after twice the wait.
const minWaitReport = time.Second

// UnitWaiting reports a unit that finds no place, with what was looked at, for the log.
type UnitWaiting struct {
	Task   job.TaskID
	Tasks  int
	Waited time.Duration
	// Listed counts the pool's workers, Usable those that may be given work,
	// Allowed those of them on which the task may run, Empty those that would
	// hold it without any other work.
	Listed      int
	Usable      int
	Allowed     int
	LargeEnough int
	// Reserved says that room is kept for the unit.
	Reserved bool
}

// JobsHeld reports that jobs of the term before wait for workers to be heard of.
type JobsHeld struct {
	Jobs int
	// Silent counts the workers that have not answered yet.
	Silent int
	// MaxWait is how long the wait lasts at most.
	MaxWait time.Duration
}

func (UnitWaiting) action() {}
func (JobsHeld) action()    {}

// reportWait reports why a unit waits, more seldom the longer it does.
func (c *Core) reportWait(p *pass, g *rankedGroup, u *unit) {
	waited := c.now.Mono - u.waitingSince
	if waited < max(u.nextWaitReport, minWaitReport) {
		return
	}
	u.nextWaitReport = 2 * waited
	n := UnitWaiting{Task: u.taskID(0), Tasks: u.size, Waited: waited, Reserved: u.plan != nil}
	for _, w := range p.pool(g.pool).workers {
		n.Listed++
		if !w.usable(c.now.Mono) {
			continue
		}
		n.Usable++
		if !c.allowed(w, g.taskGroup, u) {
			continue
		}
		n.Allowed++
		if w.Capacity.Covers(g.step.Resources()) {
			n.LargeEnough++
		}
	}
	c.emit(n)
	if n.Listed > 0 && n.LargeEnough == 0 && n.Allowed == n.Listed {
		c.alarm(u.entry(), AlarmNoWorkerFits)
	}
}

// reportHeld reports that inherited jobs wait, once a second at most.
func (c *Core) reportHeld(jobs int) {
	if jobs == 0 || c.now.Mono < c.nextHeldReport {
		return
	}
	c.nextHeldReport = c.now.Mono + minWaitReport
	h := JobsHeld{Jobs: jobs, MaxWait: c.previousLeasesEnd - c.now.Mono}
	for _, w := range c.fleet {
		if w.mayHaveUnknownRuns(c.now.Mono) {
			h.Silent++
		}
	}
	c.emit(h)
}
