package cell

import "coltsfootmux/internal/overview"

// trace records what a placement pass does with the units of one job. Only the copies
// of an Explainer have one; the methods of a nil trace do nothing.
type trace struct {
	// entry is the job that is traced.
	entry *jobEntry
	// pass is the latest pass, or nil if there was none.
	pass *pass
	// starts and stops hold, by group, the placements of the units that were started
	// and the runs that were stopped for units.
	starts map[*taskGroup][]overview.Placement
	stops  map[*taskGroup][]overview.Stop
}

func newTrace(e *jobEntry) *trace {
	return &trace{entry: e, starts: make(map[*taskGroup][]overview.Placement), stops: make(map[*taskGroup][]overview.Stop)}
}

// passBegan records the pass that is being made.
func (t *trace) passBegan(p *pass) {
	if t != nil {
		t.pass = p
	}
}

// starting records the workers of a unit that is about to be started.
func (t *trace) starting(c *Core, g *rankedGroup, u *unit, on []*worker) {
	if t == nil || u.entry() != t.entry {
		return
	}
	choice, decidedBy := 0, ""
	if u.size == 1 && !g.step.Gang {
		choice, decidedBy = c.choiceOf(t.pass, g, u, on[0])
	}
	for member, w := range on {
		p := c.placement(g.taskGroup, u.index+member, w)
		free := w.available(g.priority())
		p.State, p.Choice, p.DecidedBy = overview.PlacementStarting, choice, decidedBy
		p.FreeGPU, p.FreeCPU = free.GPU, free.CPU
		t.starts[g.taskGroup] = append(t.starts[g.taskGroup], p)
	}
}

// stopping records the runs that are about to be stopped, with their gangs, to make
// room for a unit.
func (t *trace) stopping(c *Core, u *unit, victims []*run) {
	if t == nil || u.entry() != t.entry {
		return
	}
	seen := make(map[*unit]bool)
	for _, v := range victims {
		if seen[v.unit] {
			continue
		}
		seen[v.unit] = true
		for _, r := range v.unit.runs {
			t.stops[u.group] = append(t.stops[u.group], overview.Stop{
				Job: string(r.task.Job), Step: r.task.Step, Task: r.task.Index, Worker: string(r.worker.ID),
				LostCoreMS: int64(1000 * r.unsavedWork(c.now.Mono, c.settings.RestoreTime)),
			})
		}
	}
}

// placement describes a worker for a task of a group.
func (c *Core) placement(g *taskGroup, task int, w *worker) overview.Placement {
	return overview.Placement{
		Task: task, Worker: string(w.ID), Rack: w.Rack,
		Remote: g.step.DataRack != "" && w.Rack != g.step.DataRack, Risky: c.isRisky(w, g),
	}
}

// choiceOf returns how many workers findWorker could choose from for a single task,
// and the criterion by which the chosen one went before the next best.
func (c *Core) choiceOf(p *pass, g *rankedGroup, u *unit, chosen *worker) (n int, decidedBy string) {
	remoteAllowed, order := c.mayRunRemote(p, g, u), c.speedOrder(g)
	isRemote := func(w *worker) bool { return g.step.DataRack != "" && w.Rack != g.step.DataRack }
	var next *score
	for _, w := range p.pool(g.pool).workers {
		if !c.fits(w, g.taskGroup, u) || isRemote(w) && !remoteAllowed {
			continue
		}
		n++
		if s := c.scoreOf(w, g, order, isRemote(w)); w != chosen && (next == nil || s.less(*next)) {
			next = &s
		}
	}
	if next == nil {
		return n, criterionOnly
	}
	return n, c.scoreOf(chosen, g, order, isRemote(chosen)).criterionAgainst(*next)
}

// The criteria that decide among the workers that have room for a task.
const (
	criterionOnly    = "only worker with room"
	criterionOrder   = "first of equal workers"
	criterionData    = "near its data"
	criterionRisk    = "not risky"
	criterionSpeed   = "speed"
	criterionApart   = "apart from tasks that interfere"
	criterionFreeGPU = "fewest accelerators left"
	criterionFreeCPU = "fewest cores left"
)

// criterionAgainst returns the first criterion of less in which the two scores differ.
func (s score) criterionAgainst(o score) string {
	switch {
	case s.remote != o.remote:
		return criterionData
	case s.avoided != o.avoided:
		return criterionRisk
	case s.speed != o.speed:
		return criterionSpeed
	case s.disturbed != o.disturbed:
		return criterionApart
	case s.leftGPU != o.leftGPU:
		return criterionFreeGPU
	case s.leftCPU != o.leftCPU:
		return criterionFreeCPU
	default:
		return criterionOrder
	}
}
