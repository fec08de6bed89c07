package cell

import (
	"time"

	"coltsfootmux/internal/job"
)

// softConstraint is a set of constraints that placement observes for the good of all work.
// Unlike what a task requires or what keeps it from running twice, they can be relaxed.
type softConstraint uint8

const (
	// keepsRoom leaves room to other work: reserved, kept for urgent work, or claimed by a gang.
	keepsRoom softConstraint = 1 << iota
	// staysNear waits for room in the rack of the task's data, or for a gang in one rack.
	staysNear
	// avoidsFailures keeps off workers on which runs have gone wrong lately.
	avoidsFailures
	// needsProof waits, after a failure, for a worker on which runs are known to make progress.
	needsProof
)

// relaxationOrder holds the soft constraints in the order in which they are relaxed, the
// cheapest first. Each is relaxed together with those before it.
var relaxationOrder = [...]softConstraint{keepsRoom, staysNear, avoidsFailures, needsProof}

// observes reports whether the search for a place of the group observes the constraint.
func (g *taskGroup) observes(s softConstraint) bool { return g.relaxed&s == 0 }

// findRelaxed finds workers for a unit with as few relaxed constraints as possible. It returns
// the last constraint that had to be relaxed; 0 and no workers if all of them don't help.
func (c *Core) findRelaxed(p *pass, g *rankedGroup, u *unit) (on []*worker, last softConstraint) {
	defer func() { g.relaxed = 0 }()
	for _, s := range relaxationOrder {
		g.relaxed |= s
		if on := c.findWorkers(p, g, u); on != nil {
			return on, s
		}
	}
	return nil, 0
}

const (
	// maxStand is how long a job may have nothing running for the sake of soft constraints
	// while there is room for it. The users' bound is 3 s, from when the worker has ended the
	// last run until it has begun the next.
	maxStand = 2 * time.Second
	// maxRelaxedShare is the share of a pool in use up to which they are relaxed at any time.
	// Above it, they are while no worker has changed for calmTime.
	maxRelaxedShare = 0.5
	calmTime        = 5 * time.Second
)

// findForStanding finds workers for a unit whose job has stood for maxStand although there is
// room, without regard to soft constraints that keep it off.
func (c *Core) findForStanding(p *pass, g *rankedGroup, u *unit) []*worker {
	if c.now.Mono < u.nextRelaxed {
		return nil
	}
	u.nextRelaxed = c.now.Mono + standInterval
	if !c.mayRelax(p, g.pool) || c.standsBesideRoom(p, g, u) < maxStand {
		return nil
	}
	on, last := c.findRelaxed(p, g, u)
	if on != nil {
		c.emit(ConstraintRelaxed{Task: u.taskID(0), Tasks: u.size, Stood: c.standsFor(u), Reason: last.reason()})
	}
	return on
}

// mayRelax reports whether soft constraints are relaxed in a pool for jobs that stand.
func (c *Core) mayRelax(p *pass, pool string) bool {
	return c.now.Mono-c.disturbedAt >= calmTime || p.usedShare(pool) < maxRelaxedShare
}

// disturbed records that a worker has failed, come back, or begun to leave.
func (c *Core) disturbed() { c.disturbedAt = c.now.Mono }

// ConstraintRelaxed reports, for the log, a start that disregards a soft constraint, as its job
// has stood too long.
type ConstraintRelaxed struct {
	Task   job.TaskID
	Tasks  int
	Stood  time.Duration
	Reason StandReason
}

func (ConstraintRelaxed) action() {}

// reason returns why a job stands that the constraint holds back; empty for none.
func (s softConstraint) reason() StandReason {
	switch s {
	case keepsRoom:
		return StandsForOthers
	case staysNear:
		return StandsForLocality
	case avoidsFailures:
		return StandsForFailures
	case needsProof:
		return StandsForProof
	default:
		return ""
	}
}

// canUse reports whether runs of the group may be placed on the worker.
func (c *Core) canUse(w *worker, g *taskGroup) bool {
	if g.observes(avoidsFailures) {
		return w.usable(c.now.Mono)
	}
	return w.reachable(c.now.Mono)
}

// roomFor returns the resources of the worker that tasks of the group may take.
func (w *worker) roomFor(g *taskGroup) job.Resources {
	if g.observes(keepsRoom) {
		return w.available(g.priority())
	}
	return w.available(0)
}
