package fleet

import (
	"slices"

	"coltsfootmux/internal/job"
)

// roomFactor is how many times a task, or all members of its gang, must fit onto the machines
// for it to count as waiting.
const roomFactor = 2

// Waiting returns a task of a job's first occurrence that could run while nothing of the job
// runs: the steps before it have ended, it fits roomFactor times, and less than half of the
// fleet's capacity is in use. It returns false if there is none.
func (f *Fleet) Waiting(id job.ID) (job.TaskID, bool) {
	j := f.submitted[id]
	if j == nil || f.IsRunning(id) || f.halfInUse() {
		return job.TaskID{}, false
	}
	for n := range j.Steps {
		t, due := f.dueTask(j, n)
		if due && f.hasRoom(&j.Steps[n]) {
			return t, true
		}
	}
	return job.TaskID{}, false
}

// dueTask returns a task of a step that has not ended, if all steps before it have.
func (f *Fleet) dueTask(j *job.Job, step int) (job.TaskID, bool) {
	for _, a := range j.Steps[step].After {
		if !f.hasEnded(j, a) {
			return job.TaskID{}, false
		}
	}
	if f.hasEnded(j, step) {
		return job.TaskID{}, false
	}
	for n := range j.Steps[step].Count {
		if t := (job.TaskID{Job: j.ID, Step: step, Index: n}); !f.everDone[t] {
			return t, true
		}
	}
	return job.TaskID{}, false
}

// hasEnded reports whether all tasks of a step of the first occurrence are done. A gang is once
// one of its members is.
func (f *Fleet) hasEnded(j *job.Job, step int) bool {
	done := 0
	for n := range j.Steps[step].Count {
		if f.everDone[job.TaskID{Job: j.ID, Step: step, Index: n}] {
			done++
		}
	}
	return done == j.Steps[step].Count || j.Steps[step].Gang && done > 0
}

func (f *Fleet) halfInUse() bool {
	var all, free job.Resources
	for _, m := range f.up() {
		all, free = all.Plus(m.Capacity), free.Plus(m.free())
	}
	return !free.Times(2).Covers(all)
}

func (f *Fleet) hasRoom(s *job.Step) bool {
	need := roomFactor
	if s.Gang {
		need *= s.Count
	}
	for _, m := range f.up() {
		for free := m.free(); need > 0 && free.Covers(s.Resources()); need-- {
			free = free.Minus(s.Resources())
		}
	}
	return need <= 0
}

// up returns the machines that carry out orders.
func (f *Fleet) up() []*Machine {
	return slices.DeleteFunc(f.Machines(), func(m *Machine) bool { return m.Down || m.Mode != Healthy })
}
