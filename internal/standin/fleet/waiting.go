package fleet

import (
	"slices"
	"time"

	"coltsfootmux/internal/job"
)

const (
	// roomFactor is how many times a task, or all members of its gang, must fit onto the machines
	// for it to count as waiting.
	roomFactor = 2
	// restartTime is how long a task without end may be away after its last run.
	restartTime = 6 * time.Second
)

// Waiting returns a task of a job that could run while nothing of the job runs: its occurrence is
// due, the steps before it have ended, it fits roomFactor times onto machines that may run it, and
// less than half of the fleet's capacity is in use. It returns false if there is none, and for a
// job that has failed.
func (f *Fleet) Waiting(id job.ID) (job.TaskID, bool) {
	if f.HalfInUse() {
		return job.TaskID{}, false
	}
	return f.WaitingHoweverFull(id)
}

// WaitingHoweverFull is like Waiting, whatever part of the fleet's capacity is in use.
func (f *Fleet) WaitingHoweverFull(id job.ID) (job.TaskID, bool) {
	j := f.submitted[id]
	if j == nil || f.IsRunning(id) || f.HasFailed(id) {
		return job.TaskID{}, false
	}
	for k := range f.dueOccurrences(j) {
		for n := range j.Steps {
			t, due := f.dueTask(j, k, n)
			if due && f.hasRoom(j, t) {
				return t, true
			}
		}
	}
	return job.TaskID{}, false
}

// WaitingLasting returns the tasks without end of a job that could run and have not for
// restartTime, or have not run yet, whether others of the job run or not.
func (f *Fleet) WaitingLasting(id job.ID) []job.TaskID {
	j := f.submitted[id]
	if j == nil {
		return nil
	}
	var out []job.TaskID
	for k := range f.dueOccurrences(j) {
		for n := range j.Steps {
			if _, due := f.dueTask(j, k, n); !due || !j.Steps[n].LongRunning {
				continue
			}
			for i := range j.Steps[n].Count {
				t := job.TaskID{Job: id, Occurrence: k, Step: n, Index: i}
				if !f.isAwayAllowed(t) && f.hasRoom(j, t) {
					out = append(out, t)
				}
			}
		}
	}
	return out
}

// isAwayAllowed reports whether a task without end runs, or has ended no longer than restartTime ago.
func (f *Fleet) isAwayAllowed(t job.TaskID) bool {
	for _, m := range f.machines {
		if slices.ContainsFunc(m.runs, func(run *taskRun) bool { return run.task == t }) {
			return true
		}
	}
	end, ran := f.lastEnd[t]
	return ran && f.now-end < restartTime
}

// dueOccurrences returns the number of occurrences that are due.
func (f *Fleet) dueOccurrences(j *job.Job) int {
	if !j.HasDueTimes() {
		return 1
	}
	now := f.EpochMS + f.now.Milliseconds()
	due := 0
	for due < j.OccurrenceCount() && j.DueMS(due) <= now {
		due++
	}
	return due
}

// dueTask returns a task of a step of an occurrence that has not ended, if all steps before it have.
func (f *Fleet) dueTask(j *job.Job, occurrence, step int) (job.TaskID, bool) {
	for _, a := range j.Steps[step].After {
		if !f.hasEnded(j, occurrence, a) {
			return job.TaskID{}, false
		}
	}
	if f.hasEnded(j, occurrence, step) {
		return job.TaskID{}, false
	}
	for n := range j.Steps[step].Count {
		if t := (job.TaskID{Job: j.ID, Occurrence: occurrence, Step: step, Index: n}); !f.everDone[t] {
			return t, true
		}
	}
	return job.TaskID{}, false
}

// hasEnded reports whether all tasks of a step of an occurrence are done. A gang is once one of
// its members is.
func (f *Fleet) hasEnded(j *job.Job, occurrence, step int) bool {
	done := 0
	for n := range j.Steps[step].Count {
		if f.everDone[job.TaskID{Job: j.ID, Occurrence: occurrence, Step: step, Index: n}] {
			done++
		}
	}
	return done == j.Steps[step].Count || j.Steps[step].Gang && done > 0
}

// HalfInUse reports whether half or more of the capacity of the machines is in use.
func (f *Fleet) HalfInUse() bool {
	var all, free job.Resources
	for _, m := range f.up() {
		all, free = all.Plus(m.Capacity), free.Plus(m.free())
	}
	return !free.Times(2).Covers(all)
}

// hasRoom reports whether a task fits roomFactor times onto the machines that may run it.
func (f *Fleet) hasRoom(j *job.Job, t job.TaskID) bool {
	s := &j.Steps[t.Step]
	need := roomFactor
	if s.Gang {
		need *= s.Count
	}
	for _, m := range f.up() {
		if !f.mayRun(m, j, t) {
			continue
		}
		places := m.placesFor(t, s)
		for free := m.free(); need > 0 && places > 0 && free.Covers(s.Resources()); need, places = need-1, places-1 {
			free = free.Minus(s.Resources())
		}
	}
	return need <= 0
}

// mayRun reports whether a machine has the label of a task's step and the advice service allows
// the step there.
func (f *Fleet) mayRun(m *Machine, j *job.Job, t job.TaskID) bool {
	s := &j.Steps[t.Step]
	return (s.Label == "" || slices.Contains(m.Labels, s.Label)) && (!j.Queue.NeedsAdvice || f.advises(t, m.ID))
}

// placesFor returns how many more tasks of a step may run on the machine, whatever its room.
func (m *Machine) placesFor(t job.TaskID, s *job.Step) int {
	if s.MaxPerWorker == 0 {
		return roomFactor * s.Count
	}
	places := s.MaxPerWorker
	for _, run := range m.runs {
		if sameStep(run.task, t) {
			places--
		}
	}
	return places
}

// up returns the machines that carry out orders.
func (f *Fleet) up() []*Machine {
	return slices.DeleteFunc(f.Machines(), func(m *Machine) bool { return m.Down || m.Mode != Healthy })
}
