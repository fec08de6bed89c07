package job

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrInvalid means that a submission is not a job that could ever run.
var ErrInvalid = eris.New("invalid job")

// Bounds on what one job may ask for; they keep a record small enough for the
// store and a job's state small in memory.
const (
	maxSteps       = 256
	maxTasks       = 20000
	maxOccurrences = 100000
)

// Check gives an error that wraps ErrInvalid when the job can't be scheduled.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return eris.Wrap(ErrInvalid, fmt.Sprintf("%d steps", len(j.Steps)))
	}
	if j.Occurrences < 0 || j.Occurrences > maxOccurrences || j.IntervalMS < 0 {
		return eris.Wrap(ErrInvalid, "due times")
	}
	total := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count <= 0 || s.CPU < 0 || s.MemMB < 0 || s.GPU < 0 || s.EstimateMS < 0 {
			return eris.Wrap(ErrInvalid, fmt.Sprintf("amounts of step %d", i))
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return eris.Wrap(ErrInvalid, fmt.Sprintf("order of step %d", i))
			}
		}
		if total += min(s.Count, maxTasks+1); total > maxTasks {
			return eris.Wrap(ErrInvalid, fmt.Sprintf("more than %d tasks", maxTasks))
		}
	}
	return nil
}
