package cell

import (
	"slices"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/job"
	"coltsfootmux/internal/overview"
)

// ErrUnreadJobs means that jobs of the previous term have not been read yet, so that
// nothing can be said about the room that they take.
var ErrUnreadJobs = eris.New("jobs of the previous term have not been read yet")

// maxExplained bounds the placements and the stops that are listed for one step.
const maxExplained = 200

// Explainer explains where a job would be placed. It holds a copy of a core's state, so
// that it can be used while the core goes on.
type Explainer struct{ core *Core }

// Explainer returns an Explainer of the present state, for one explanation. Error:
// ErrUnreadJobs.
func (c *Core) Explainer() (*Explainer, error) {
	if c.missing != nil {
		return nil, ErrUnreadJobs
	}
	return &Explainer{core: c.copy()}, nil
}

// Explain submits the first occurrence of a job to the copy, makes a placement pass and
// returns what the pass did with it. The ID of the job must be unknown to the core.
func (x *Explainer) Explain(now Instant, j *job.Job) overview.Explanation {
	c := x.core
	c.now, c.actions = now, nil
	first := *j
	// Many occurrences that are due at once would need memory for all of their tasks.
	first.Occurrences = min(j.Occurrences, 1)
	c.submit(&first)
	e := c.jobs[j.ID]
	c.trace = newTrace(e)
	c.openDueOccurrences()
	c.placementDue, c.nextPlacement = true, now.Mono
	c.place()
	out := overview.Explanation{
		Term: c.term, Queue: j.Queue.Name, Pool: j.Queue.Pool, Priority: j.Queue.Priority, Account: j.Account,
		Entitled:    c.trace.pass != nil && c.trace.pass.entitled[e],
		ObjectiveMS: e.expectedObjective().Milliseconds(),
	}
	for i := range j.Steps {
		out.Steps = append(out.Steps, c.explainStep(e, i))
	}
	return out
}

// explainStep returns what the traced pass did with a step of the first occurrence.
func (c *Core) explainStep(e *jobEntry, step int) overview.ExplainedStep {
	s := &e.job.Steps[step]
	out := overview.ExplainedStep{Step: step, Tasks: s.Count, Gang: s.Gang, PredictedMS: e.runTime(s).Milliseconds()}
	if len(e.occurrences) == 0 {
		out.Unplaced, out.WaitReason = s.Count, "not due yet"
		return out
	}
	g := e.occurrences[0].groups[step]
	ranked := c.explainRank(&out, g)
	out.Placements, out.Starting = c.trace.starts[g], len(c.trace.starts[g])
	var first *unit
	for _, u := range g.units {
		switch {
		case u.plan != nil:
			c.explainPlan(&out, u)
		case u.state == unitWaiting:
			out.Unplaced += u.size
			if first == nil {
				first = u
			}
		}
	}
	if first != nil {
		c.explainWait(&out, ranked, first)
	}
	out.Stops = c.trace.stops[g]
	out.MorePlacements = max(len(out.Placements)-maxExplained, 0)
	out.Placements = out.Placements[:len(out.Placements)-out.MorePlacements]
	out.MoreStops = max(len(out.Stops)-maxExplained, 0)
	out.Stops = out.Stops[:len(out.Stops)-out.MoreStops]
	return out
}

// explainRank sets a group's rank in the traced pass. It returns the group with its
// rank, or nil if the pass did not consider it.
func (c *Core) explainRank(out *overview.ExplainedStep, g *taskGroup) *rankedGroup {
	p := c.trace.pass
	if p == nil {
		return nil
	}
	out.Waiting = len(p.ready)
	at := slices.IndexFunc(p.ready, func(o *rankedGroup) bool { return o.taskGroup == g })
	if at < 0 {
		return nil
	}
	out.Rank = at + 1
	return p.ready[at]
}

// explainPlan adds the workers on which room is kept for a unit.
func (c *Core) explainPlan(out *overview.ExplainedStep, u *unit) {
	state, n := overview.PlacementPlanned, &out.Planned
	if u.plan.reservation {
		state, n = overview.PlacementReserved, &out.Reserved
	}
	*n += u.size
	for member, w := range u.plan.on {
		p := c.placement(u.group, u.index+member, w)
		p.State = state
		out.Placements = append(out.Placements, p)
	}
}

// explainWait says why a unit has found no place. ranked is nil if the pass has not
// considered its group.
func (c *Core) explainWait(out *overview.ExplainedStep, ranked *rankedGroup, u *unit) {
	switch {
	case c.trace.pass == nil:
		out.WaitReason = "the term has not been confirmed recently"
	case !u.group.dependenciesDone():
		out.WaitReason = "earlier steps have not ended"
	case ranked == nil:
		out.WaitReason = "workers of the previous term have not answered yet"
	case c.unansweredStarts() >= c.maxUnansweredStarts():
		out.WaitReason = "too many starts have not been answered yet"
	case c.leavesRoom(c.trace.pass, ranked):
		out.WaitReason = "leaves room to the waiting gang of job " + string(c.trace.pass.claims[ranked.pool].occ.entry.job.ID)
	default:
		w := c.waitOf(c.trace.pass, ranked, u)
		out.Candidates = &overview.Candidates{Listed: w.Listed, Usable: w.Usable, Allowed: w.Allowed, LargeEnough: w.LargeEnough}
		out.WaitReason = noRoomReason(w, u)
		if c.fitsTimes(c.trace.pass, ranked, u, standRoomFactor) {
			out.WaitReason = "there is room, but " + string(c.standReason(c.trace.pass, ranked, u))
		}
	}
}

// noRoomReason returns why none of the considered workers took the unit.
func noRoomReason(w UnitWaiting, u *unit) string {
	switch {
	case w.Listed == 0:
		return "the pool has no workers"
	case w.Usable == 0:
		return "no worker of the pool is usable"
	case w.Allowed == 0 && u.entry().job.Queue.NeedsAdvice:
		return "the advice service has allowed no worker yet"
	case w.Allowed == 0:
		return "no usable worker may run the task"
	case w.LargeEnough == 0:
		return "no allowed worker is large enough"
	default:
		return "no room"
	}
}
