package fleet

import (
	"fmt"
	"slices"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// A task must not start after one of its runs has ended as done, if that end is acknowledged,
// be it later. An end does not count if the lease of its machine expires before that, or if the
// machine loses it in a restart.

// doneEnd is an end as done that its machine lists and nobody has acknowledged yet.
type doneEnd struct {
	task   job.TaskID
	number int64
	// repeats describes the starts of the task since.
	repeats []string
}

// addDoneEnd records the end of a run as done.
func (f *Fleet) addDoneEnd(m *Machine, run *taskRun) {
	if run.step.LongRunning {
		return
	}
	e := &doneEnd{task: run.task, number: m.lastEndNumber}
	m.doneEnds = append(m.doneEnds, e)
	f.doneEnds[run.task] = append(f.doneEnds[run.task], e)
}

// recordRepeat records a start of a task that has ended as done.
func (f *Fleet) recordRepeat(m *Machine, o external.StartOrder, s *job.Step) {
	if s.Speculative {
		return
	}
	for _, e := range f.doneEnds[o.Task] {
		e.repeats = append(e.repeats, fmt.Sprintf("%d on %s at %v", o.Run, m.ID, f.now))
	}
}

// acknowledgeEnds records that the ends of a machine up to a number are acknowledged.
func (f *Fleet) acknowledgeEnds(m *Machine, through int64) {
	for _, e := range f.removeDoneEnds(m, through) {
		for _, r := range e.repeats {
			f.violationf("%v ended as done on %s, which is acknowledged now, and was started again: %s", e.task, m.ID, r)
		}
	}
}

// checkLease forgets the ends of a machine whose lease has expired.
func (m *Machine) checkLease(now time.Duration) {
	if len(m.doneEnds) > 0 && m.clock(now) > m.leaseEnd {
		m.fleet.removeDoneEnds(m, m.lastEndNumber)
	}
}

// removeDoneEnds removes the ends of a machine up to a number, and returns them.
func (f *Fleet) removeDoneEnds(m *Machine, through int64) []*doneEnd {
	n := 0
	for n < len(m.doneEnds) && m.doneEnds[n].number <= through {
		n++
	}
	removed := m.doneEnds[:n]
	m.doneEnds = m.doneEnds[n:]
	for _, e := range removed {
		left := slices.DeleteFunc(f.doneEnds[e.task], func(o *doneEnd) bool { return o == e })
		if len(left) == 0 {
			delete(f.doneEnds, e.task)
			continue
		}
		f.doneEnds[e.task] = left
	}
	return removed
}
