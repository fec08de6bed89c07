package cell

import (
	"fmt"
	"slices"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// gangJudge reports members of gangs that end alone although no fault was near.
//
// A run is excused if a worker or its path failed, the term was not confirmed or the owner was replaced from a
// call before its gang's first start, or the last renewal of a lease that has expired, until its end, or if the network lost or delayed an order of its job.
type gangJudge struct {
	disturbedAt time.Duration
	// owners and crashes count those seen so far.
	owners, crashes int
	delayed         map[job.ID]bool
	violations      []string
}

// noteDelay records that an order of a job is lost or late.
func (g *gangJudge) noteDelay(id job.ID) {
	if g.delayed == nil {
		g.delayed = make(map[job.ID]bool)
	}
	g.delayed[id] = true
}

// check records the runs that ended alone since the last call and are not excused.
func (g *gangJudge) check(s *simulation) {
	if len(s.owners) != g.owners || s.fleet.Crashes != g.crashes || s.isDisturbed() {
		g.owners, g.crashes, g.disturbedAt = len(s.owners), s.fleet.Crashes, s.now
	}
	for _, a := range s.fleet.TakeAlone() {
		if !a.Late && !g.delayed[a.Task.Job] && (g.disturbedAt == 0 || g.disturbedAt < a.Since-callTime) {
			g.violations = append(g.violations, fmt.Sprintf("%v: %v run %d on %s ended alone, %v after its gang was left in part, terms %v", a.EndedAt, a.Task, a.Run, a.Worker, a.EndedAt-a.Since, a.Tokens))
		}
	}
}

// callTime is the time limit of an order.
const callTime = 700 * time.Millisecond

// isDisturbed reports whether a fault is in force.
func (s *simulation) isDisturbed() bool {
	for _, m := range s.fleet.Machines() {
		if m.Down {
			return true
		}
	}
	cuts := []map[external.WorkerID]bool{s.unreachable, s.refusing, s.expired, s.island}
	for _, o := range s.owners {
		cuts = append(cuts, o.unreachable)
	}
	return s.termUnconfirmed || s.storeDown || slices.ContainsFunc(cuts, hasAny)
}

// hasAny reports whether a set has an element.
func hasAny(set map[external.WorkerID]bool) bool {
	for _, has := range set {
		if has {
			return true
		}
	}
	return false
}
