package cell

import (
	"time"

	"coltsfootmux/internal/job"
)

// minReportedWait is how long a unit waits before the reason is reported; each further
// report comes after twice the wait. JobsHeld is reported at this interval.
const minReportedWait = time.Second

// UnitWaiting reports, for the log, a unit that finds no place, with how many workers
// were considered.
type UnitWaiting struct {
	// Task is the unit's first task, Tasks how many it has.
	Task   job.TaskID
	Tasks  int
	Waited time.Duration
	// Listed counts the pool's workers, Usable those of them that may be given work,
	// Allowed those of the usable ones that may run the task, and LargeEnough those of
	// the allowed ones that would hold the task if nothing else ran there.
	Listed      int
	Usable      int
	Allowed     int
	LargeEnough int
	// Reserved is set if room is kept for the unit.
	Reserved bool
}

// JobsHeld reports that no tasks of some jobs are started yet, as the previous owner
// may have started them on workers that have not answered this owner.
type JobsHeld struct {
	Jobs int
	// Silent counts the workers whose answer is awaited, Unread those that have answered and have
	// more ended runs than they have listed.
	Silent int
	Unread int
	// MaxWait is how long the jobs are held at most.
	MaxWait time.Duration
}

func (UnitWaiting) action() {}
func (JobsHeld) action()    {}

// reportWait reports a waiting unit, less often the longer it waits, and raises an
// alarm if none of the pool's workers is large enough.
func (c *Core) reportWait(p *pass, g *rankedGroup, u *unit) {
	waited := c.now.Mono - u.waitingSince
	if waited < max(u.nextWaitReport, minReportedWait) {
		return
	}
	u.nextWaitReport = 2 * waited
	n := c.waitOf(p, g, u)
	c.emit(n)
	if n.Listed > 0 && n.LargeEnough == 0 && n.Allowed == n.Listed {
		c.alarm(u.entry(), AlarmNoWorkerFits)
	}
}

// waitOf returns how long a unit has waited and how many workers were considered.
func (c *Core) waitOf(p *pass, g *rankedGroup, u *unit) UnitWaiting {
	n := UnitWaiting{Task: u.taskID(0), Tasks: u.size, Waited: c.now.Mono - u.waitingSince, Reserved: u.plan != nil}
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
	return n
}

// reportHeld reports the number of held jobs, if any, at most once a second.
func (c *Core) reportHeld(jobs int) {
	if jobs == 0 || c.now.Mono < c.nextHeldReport {
		return
	}
	c.nextHeldReport = c.now.Mono + minReportedWait
	h := JobsHeld{Jobs: jobs, MaxWait: c.previousLeasesEnd - c.now.Mono}
	for _, w := range c.fleet {
		switch {
		case !c.mayHaveUnknownRuns(w):
		case w.hasUnreadEnds():
			h.Unread++
		default:
			h.Silent++
		}
	}
	c.emit(h)
}
