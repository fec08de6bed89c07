package job

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// ErrInvalid means that a submitted job is malformed or exceeds a limit.
var ErrInvalid = eris.New("invalid job")

// Limits of one job. They keep its record small enough for the store and its
// state small in memory.
const (
	maxSteps       = 256
	maxTasks       = 20000
	maxOccurrences = 100000
	// maxSpecBytes limits the spec of a new job. Callers may send up to 4,000 bytes; the limit
	// is higher since deployments describe whole bodies of nearly 10,000 bytes.
	maxSpecBytes = 16 << 10
)

// CheckNew returns an error that wraps ErrInvalid if the job must not be accepted. It is
// stricter than Check, which also holds for jobs that earlier versions have accepted.
func (j *Job) CheckNew() error {
	if len(j.Spec) > maxSpecBytes {
		return eris.Wrap(ErrInvalid, fmt.Sprintf("spec has %d bytes, more than %d", len(j.Spec), maxSpecBytes))
	}
	if err := j.Check(); err != nil {
		return err
	}
	for i := range j.Steps {
		if a, ok := j.Steps[i].repeatedDependency(); ok {
			return eris.Wrap(ErrInvalid, fmt.Sprintf("step %d names step %d more than once as one that it depends on", i, a))
		}
	}
	return nil
}

// Check returns an error that wraps ErrInvalid if the job can't be scheduled.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return eris.Wrap(ErrInvalid, fmt.Sprintf("number of steps is %d", len(j.Steps)))
	}
	if j.Occurrences < 0 || j.Occurrences > maxOccurrences || j.IntervalMS < 0 {
		return eris.Wrap(ErrInvalid, "number of occurrences or interval out of range")
	}
	total := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		if s.Count <= 0 || s.CPU < 0 || s.MemMB < 0 || s.GPU < 0 || s.EstimateMS < 0 {
			return eris.Wrap(ErrInvalid, fmt.Sprintf("count, resources or estimate of step %d out of range", i))
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return eris.Wrap(ErrInvalid, fmt.Sprintf("step %d depends on a step that is not an earlier one", i))
			}
		}
		if total += min(s.Count, maxTasks+1); total > maxTasks {
			return eris.Wrap(ErrInvalid, fmt.Sprintf("more than %d tasks", maxTasks))
		}
	}
	return nil
}

// repeatedDependency returns a step that After names more than once, if any. The job is
// otherwise valid.
func (s *Step) repeatedDependency() (step int, ok bool) {
	var seen [maxSteps]bool
	for _, a := range s.After {
		if seen[a] {
			return a, true
		}
		seen[a] = true
	}
	return 0, false
}

// dropRepeatedDependencies shortens After to one entry for each step.
func (s *Step) dropRepeatedDependencies() {
	if _, ok := s.repeatedDependency(); !ok {
		return
	}
	var seen [maxSteps]bool
	var after []int
	for _, a := range s.After {
		if !seen[a] {
			seen[a] = true
			after = append(after, a)
		}
	}
	s.After = after
}

// Normalize checks a job that was read from the store, as Check does, and drops what earlier
// versions accepted and has no effect.
func (j *Job) Normalize() error {
	if err := j.Check(); err != nil {
		return err
	}
	for i := range j.Steps {
		j.Steps[i].dropRepeatedDependencies()
	}
	return nil
}
