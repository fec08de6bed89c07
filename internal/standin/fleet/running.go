package fleet

import (
	"time"

	"coltsfootmux/internal/job"
)

// IsRunning reports whether a run of a task of the job is on a machine.
func (f *Fleet) IsRunning(id job.ID) bool {
	for _, m := range f.machines {
		for _, run := range m.runs {
			if run.task.Job == id {
				return true
			}
		}
	}
	return false
}

// LastEnd returns when the latest run of a job ended; false if none has.
func (f *Fleet) LastEnd(id job.ID) (last time.Duration, ok bool) {
	for t, at := range f.lastEnd {
		if t.Job == id {
			last, ok = max(last, at), true
		}
	}
	return last, ok
}
