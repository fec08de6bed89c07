package cell

import (
	"time"

	"coltsfootmux/internal/core/room"
	"coltsfootmux/internal/job"
)

const (
	// minReportedStand is how long a job stands before the reason is reported; each further
	// report about it comes after twice the time.
	minReportedStand = 1500 * time.Millisecond
	// standInterval is the time between two looks at the jobs that stand.
	standInterval = 100 * time.Millisecond
	// maxStandReports bounds the reports of one placement pass.
	maxStandReports = 20
	// standRoomFactor is how many times a unit must fit into the free room for its job to
	// count as one that stands although there is room.
	standRoomFactor = 2
)

// StandReason says why a job stands although there is room.
type StandReason string

// The reasons. Each of the first four is a softConstraint.
const (
	StandsForOthers       StandReason = "room is kept for other work"
	StandsForLocality     StandReason = "no room near its data or in one rack"
	StandsForFailures     StandReason = "runs have gone wrong on the workers with room"
	StandsForProof        StandReason = "no worker with room is proven while many fail"
	StandsForAdvice       StandReason = "no ticket of the advice service"
	StandsForIsolation    StandReason = "no worker without other runs for a task under which workers crash"
	StandsForPreviousTerm StandReason = "workers of the previous term have not answered"
	StandsForStops        StandReason = "runs that make room have not stopped"
	StandsForStarts       StandReason = "too many starts without an answer"
	StandsForWorkers      StandReason = "the workers with room can't be used"
	StandsForPass         StandReason = "next placement pass"
)

// JobStands reports, for the log, a job that has nothing running although a task of it could
// run and there is room for it.
type JobStands struct {
	// Task is the first task of the unit that waits, Tasks how many it has.
	Task  job.TaskID
	Tasks int
	// Stood is how long nothing of the job has run although there was room.
	Stood  time.Duration
	Reason StandReason
	// Room counts the listed workers with free room for one of the tasks, Usable those of them
	// that may be given work now.
	Room   int
	Usable int
}

func (JobStands) action() {}

// standsFor returns how long a waiting unit has kept its job standing: for how long it has waited
// while nothing of its job ran. Tasks that last stand by themselves.
func (c *Core) standsFor(u *unit) time.Duration {
	if u.group.step.LongRunning {
		return c.now.Mono - u.waitingSince
	}
	e := u.entry()
	since := max(u.waitingSince, e.lastRunEnd)
	if e.runs > 0 {
		silent, ok := e.silentSince()
		if !ok {
			return 0
		}
		since = max(since, silent)
	}
	return c.now.Mono - since
}

// silentSince returns since when all workers with runs of the job have not answered; ok is false if
// one of them answers.
func (e *jobEntry) silentSince() (since time.Duration, ok bool) {
	for _, o := range e.occurrences {
		for _, g := range o.groups {
			for _, u := range g.units {
				for _, r := range u.runs {
					if r.worker.holdFailures == 0 {
						return 0, false
					}
					since = max(since, r.worker.lastAnswerAt)
				}
			}
		}
	}
	return since, true
}

// standsBesideRoom returns for how long a unit has kept its job standing while there was room for
// it all the time. In a busy pool room comes and goes, and no job stands for want of a decision.
func (c *Core) standsBesideRoom(p *pass, g *rankedGroup, u *unit) time.Duration {
	if !c.fitsTimes(p, g, u, standRoomFactor) {
		u.roomSince = 0
		return 0
	}
	if u.roomSince == 0 {
		u.roomSince = c.now.Mono
	}
	return min(c.standsFor(u), c.now.Mono-u.roomSince)
}

// reportStands reports the jobs that stand although there is room.
func (c *Core) reportStands(p *pass) {
	if c.now.Mono < c.nextStandLook {
		return
	}
	c.nextStandLook = c.now.Mono + standInterval
	left := maxStandReports
	for _, g := range p.ready {
		if u := c.standingUnit(p, g); u != nil && left > 0 {
			left--
			c.reportStand(p, g, u, c.standReason(p, g, u))
		}
	}
	for _, g := range p.held {
		if u := c.standingUnit(p, g); u != nil && left > 0 {
			left--
			c.reportStand(p, g, u, StandsForPreviousTerm)
		}
	}
}

// standingUnit returns the first waiting unit of a group whose job has stood for so long that
// it is reported, if there is room for it; else nil.
func (c *Core) standingUnit(p *pass, g *rankedGroup) *unit {
	for _, u := range g.units {
		if u.state != unitWaiting {
			continue
		}
		if c.standsBesideRoom(p, g, u) < max(g.occ.entry.nextStandReport, minReportedStand) {
			return nil
		}
		return u
	}
	return nil
}

func (c *Core) reportStand(p *pass, g *rankedGroup, u *unit, reason StandReason) {
	stood := c.standsBesideRoom(p, g, u)
	g.occ.entry.nextStandReport = 2 * stood
	out := JobStands{Task: u.taskID(0), Tasks: u.size, Stood: stood, Reason: reason}
	for _, w := range p.pool(g.pool).workers {
		if w.mayHold(g.step) && w.freeNow().Covers(g.step.Resources()) {
			out.Room++
			if w.usable(c.now.Mono) {
				out.Usable++
			}
		}
	}
	c.emit(out)
}

// standReason returns why a unit that the pass has considered waits.
func (c *Core) standReason(p *pass, g *rankedGroup, u *unit) StandReason {
	if on := c.findWorkers(p, g, u); on != nil {
		switch {
		case c.leavesRoom(p, g):
			return StandsForOthers
		case c.unansweredStarts() >= c.maxUnansweredStarts():
			return StandsForStarts
		}
		return StandsForPass
	}
	_, last := c.findRelaxed(p, g, u)
	switch {
	case u.plan != nil && !u.plan.reservation:
		return StandsForStops
	case last != 0:
		return last.reason()
	case g.occ.entry.job.Queue.NeedsAdvice:
		return StandsForAdvice
	case u.isSuspect():
		return StandsForIsolation
	}
	return StandsForWorkers
}

// fitsTimes reports whether a unit fits a number of times into the free room of the workers that
// are listed, without regard to what else speaks against a placement there.
func (c *Core) fitsTimes(p *pass, g *rankedGroup, u *unit, times int) bool {
	if g.step.MaxPerWorker > 0 {
		return c.countFits(p, g, u, times)
	}
	k := roomDemand{pool: g.pool, label: g.step.Label, resources: g.step.Resources(), tasks: times * u.size}
	fits, known := p.rooms[k]
	if !known {
		fits = c.countFits(p, g, u, times)
		p.rooms[k] = fits
	}
	return fits
}

// roomDemand is what fitsTimes depends on, but for MaxPerWorker.
type roomDemand struct {
	pool, label string
	resources   job.Resources
	tasks       int
}

func (c *Core) countFits(p *pass, g *rankedGroup, u *unit, times int) bool {
	left := times * u.size
	c.examined += int64(len(p.pool(g.pool).workers))
	for _, w := range p.pool(g.pool).workers {
		n := room.Tasks(w.freeNow(), g.step)
		if n == 0 || !w.mayHold(g.step) {
			continue
		}
		if g.step.MaxPerWorker > 0 {
			n = min(n, g.step.MaxPerWorker-w.taskCount(g.taskGroup))
		}
		left -= max(n, 0)
		if left <= 0 {
			return true
		}
	}
	return false
}

// freeNow returns the resources that no run uses.
func (w *worker) freeNow() job.Resources { return w.Capacity.Minus(w.used) }

// mayHold reports whether the worker takes work, and has the label that the step requires.
func (w *worker) mayHold(s *job.Step) bool {
	return !w.gone && !w.Draining && !w.placeDrained && (s.Label == "" || w.hasLabel(s.Label))
}
