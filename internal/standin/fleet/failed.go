package fleet

import "coltsfootmux/internal/job"

// HasFailed reports whether a task of a job, or a gang, has failed as often as the job's queue
// allows, so that callers may see the job as failed. Tasks without end may fail any number of times.
func (f *Fleet) HasFailed(id job.ID) bool {
	j := f.submitted[id]
	if j == nil || j.Queue.MaxTries == 0 {
		return false
	}
	for t := range f.failures {
		if t.Job == id && f.triesOf(f.failures, j, t) >= j.Queue.MaxTries {
			return true
		}
	}
	return false
}

// triesOf returns the failed runs of a task among some that are counted, or of its gang: each
// failed run of a gang ends as failed on one member. It returns 0 for a task without end.
func (f *Fleet) triesOf(failures map[job.TaskID]int, j *job.Job, t job.TaskID) int {
	s := &j.Steps[t.Step]
	switch {
	case s.LongRunning:
		return 0
	case !s.Gang:
		return failures[t]
	}
	tries := 0
	for t.Index = range s.Count {
		tries += failures[t]
	}
	return tries
}

// checkTries records a start after as many failed runs as the job's queue allows, whose ends have
// been acknowledged.
func (f *Fleet) checkTries(j *job.Job, t job.TaskID) {
	if n := f.triesOf(f.acknowledgedFailures, j, t); j.Queue.MaxTries > 0 && n >= j.Queue.MaxTries && !f.OrderDelayed {
		f.violationf("start of %v after %d failed runs", t, n)
	}
}
