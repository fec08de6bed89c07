package cell

import "coltsfootmux/internal/core/upkeep"

// Machines returns the state of the machines that have a listed worker, for upkeep.
func (c *Core) Machines() []upkeep.Machine {
	var out []upkeep.Machine
	for _, w := range c.fleet {
		if w.Machine == "" || !w.listed {
			continue
		}
		m := upkeep.Machine{Name: w.Machine, RunCount: len(w.runs), WorkerStartedMS: max(w.reportedStartMS, w.StartedMS)}
		if w.hasUnreadEnds() {
			m.RunCount++ // the ends are lost with the worker
		}
		seen := make(map[*unit]bool)
		for _, r := range w.runs {
			if r.unit == nil || seen[r.unit] || r.unit.state == unitDone {
				continue
			}
			seen[r.unit] = true
			m.LossCoreSeconds += c.stopCost(r)
			m.Protected = m.Protected || !r.unit.mayInterrupt()
		}
		out = append(out, m)
	}
	return out
}
