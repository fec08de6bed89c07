package fleet

import "coltsfootmux/internal/job"

// SlowdownFunc returns the factor by which a task takes longer while a neighbour runs on
// the same machine, or 1.
type SlowdownFunc func(victim, neighbour job.TaskID) float64

// slowdown returns the factor by which the neighbours of a run slow it: that of the worst.
func (m *Machine) slowdown(run *taskRun) float64 {
	f := m.fleet.Slowdown
	if f == nil {
		return 1
	}
	by := 1.0
	for _, o := range m.runs {
		if o != run {
			by = max(by, f(run.task, o.task))
		}
	}
	return by
}
