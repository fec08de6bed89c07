package fleet

import "coltsfootmux/internal/job"

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
