package fleet

import (
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// shrinkGrace is how long the capacity from before a machine shrank still counts: orders
// may be on their way, and the machine reports its capacity only from time to time.
const shrinkGrace = 5500 * time.Millisecond

// SetCapacity changes the capacity of a running machine. Its runs go on.
func (m *Machine) SetCapacity(r job.Resources) {
	now := m.fleet.now
	if now >= m.beforeEnd {
		m.before = m.Capacity
	}
	m.before = m.before.Max(r)
	m.beforeEnd = now + shrinkGrace
	m.Capacity = r
}

// checkCapacity records a start that brings an unguarded machine over its capacity.
func (f *Fleet) checkCapacity(m *Machine, o external.StartOrder, step *job.Step) {
	limit := m.Capacity
	if f.now < m.beforeEnd {
		limit = limit.Max(m.before)
	}
	used := step.Resources()
	for _, run := range m.runs {
		used = used.Plus(run.step.Resources())
	}
	if !limit.Covers(used) && !f.OrderDelayed {
		f.violationf("start of %v brings %s to %+v of %+v", o.Task, m.ID, used, limit)
	}
}
