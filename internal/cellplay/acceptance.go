package cellplay

import (
	"time"

	"coltsfootmux/internal/core/shed"
	"coltsfootmux/internal/job"
)

// levelDelay is how long instances take to learn how much the owner has them refuse: the time between
// two renewals of its term.
const levelDelay = 500 * time.Millisecond

// acceptance decides which of the submitted jobs are refused since the owner lacks processor time.
type acceptance struct {
	controller *shed.Controller
	// level is what the owner has decided, known what the instances know of it.
	level, known shed.Level
}

// adjustAcceptance lets the owner decide anew how much is refused.
func (s *simulator) adjustAcceptance() {
	if !s.trace.Params.Acceptance {
		return
	}
	level := s.acceptance.controller.Step(s.now, s.core.StartDelay(), s.trace.priorityCount())
	if level != s.acceptance.level {
		s.acceptance.level = level
		s.after(levelDelay, func() { s.acceptance.known = level })
	}
}

// refuses decides on a job that its caller hands in for the first time, so that the owner knows of no
// earlier attempt.
func (s *simulator) refuses(j *job.Job) bool {
	return s.trace.Params.Acceptance && s.acceptance.known.Refuses(j.ID, s.trace.lessUrgent(j.Queue.Priority))
}

// priorityCount returns how many different priorities the jobs of the trace have.
func (t *Trace) priorityCount() int { return len(t.priorities) }

// lessUrgent returns how many different priorities of jobs are less urgent than the given one.
func (t *Trace) lessUrgent(priority int) int {
	n := 0
	for p := range t.priorities {
		if p > priority {
			n++
		}
	}
	return n
}

// indexPriorities records the priorities of the trace's jobs.
func (t *Trace) indexPriorities() {
	t.priorities = make(map[int]bool)
	for n := range t.Jobs {
		t.priorities[t.Jobs[n].Job.Queue.Priority] = true
	}
}
