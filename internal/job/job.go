package job

import "time"

// ID identifies a job; the caller chooses it.
type ID string

// Job is a submitted job as it is kept in the store.
type Job struct {
	ID      ID     `cbor:"1,keyasint"`
	Account string `cbor:"2,keyasint,omitempty"`
	// Queue holds the settings of the job's queue at the time it was accepted.
	Queue Queue `cbor:"3,keyasint"`
	// Spec is opaque text that workers get unchanged.
	Spec  string `cbor:"4,keyasint,omitempty"`
	Steps []Step `cbor:"5,keyasint"`
	// Occurrences is how many times all steps are run; 0 and 1 both mean once. The job has
	// due times only if it is at least 1.
	Occurrences int `cbor:"6,keyasint,omitempty"`
	// FirstDueMS is the due time of the first occurrence in Unix milliseconds.
	FirstDueMS int64 `cbor:"7,keyasint,omitempty"`
	// IntervalMS is the time between the due times of successive occurrences.
	IntervalMS int64 `cbor:"8,keyasint,omitempty"`
	// SubmittedMS is when the job was received, in Unix milliseconds.
	SubmittedMS int64 `cbor:"9,keyasint"`
}

// HasDueTimes reports whether the job's occurrences have due times.
func (j *Job) HasDueTimes() bool { return j.Occurrences > 0 }

// OccurrenceCount returns the number of occurrences, at least 1.
func (j *Job) OccurrenceCount() int { return max(j.Occurrences, 1) }

// DueMS returns the due time of occurrence k in Unix milliseconds. A job without
// due times is due at the time of its submission.
func (j *Job) DueMS(k int) int64 {
	if !j.HasDueTimes() {
		return j.SubmittedMS
	}
	return j.FirstDueMS + int64(k)*j.IntervalMS
}

// CriticalPath returns the length of the longest chain of dependent steps, of which each
// takes the time that runTime returns.
func (j *Job) CriticalPath(runTime func(*Step) time.Duration) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var start time.Duration
		for _, a := range j.Steps[i].After {
			start = max(start, ends[a])
		}
		ends[i] = start + runTime(&j.Steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}

// StaleFactor is the multiple of its objective after which a job's completion is
// of no use to its caller any more.
const StaleFactor = 3

// Objective returns the time after its due time within which an occurrence should
// complete, by its caller's estimates.
func (j *Job) Objective() time.Duration { return j.ObjectiveFor(j.CriticalPath((*Step).Estimate)) }

// ObjectiveFor returns the objective of a job with the given critical path.
func (j *Job) ObjectiveFor(criticalPath time.Duration) time.Duration {
	return time.Duration(j.Queue.Stretch*float64(criticalPath)) + time.Duration(j.Queue.ObjectiveMS)*time.Millisecond
}
