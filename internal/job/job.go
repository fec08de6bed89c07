package job

import "time"

// ID names a job; callers choose it.
type ID string

// Job is a submission as it is kept in the store.
type Job struct {
	ID      ID     `cbor:"1,keyasint"`
	Account string `cbor:"2,keyasint,omitempty"`
	// Queue is the queue as it was when the job was accepted.
	Queue Queue `cbor:"3,keyasint"`
	// Spec is opaque text, handed to workers unchanged.
	Spec  string `cbor:"4,keyasint,omitempty"`
	Steps []Step `cbor:"5,keyasint"`
	// Occurrences is how often the steps run; 0 and 1 mean once, and only a
	// job with Occurrences of at least 1 has due times.
	Occurrences int `cbor:"6,keyasint,omitempty"`
	// FirstDueMS is the due time of the first occurrence in Unix milliseconds.
	FirstDueMS int64 `cbor:"7,keyasint,omitempty"`
	// IntervalMS lies between the due times of two occurrences.
	IntervalMS int64 `cbor:"8,keyasint,omitempty"`
	// SubmittedMS is when the job was received, in Unix milliseconds.
	SubmittedMS int64 `cbor:"9,keyasint"`
}

// HasDueTimes says whether the job's occurrences have due times.
func (j *Job) HasDueTimes() bool { return j.Occurrences > 0 }

// OccurrenceCount gives the number of occurrences, at least 1.
func (j *Job) OccurrenceCount() int { return max(j.Occurrences, 1) }

// DueMS gives the due time of occurrence k in Unix milliseconds. Jobs without
// due times are due when they were submitted.
func (j *Job) DueMS(k int) int64 {
	if !j.HasDueTimes() {
		return j.SubmittedMS
	}
	return j.FirstDueMS + int64(k)*j.IntervalMS
}

// CriticalPath gives the longest chain of estimated work through the steps.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var start time.Duration
		for _, a := range j.Steps[i].After {
			start = max(start, ends[a])
		}
		ends[i] = start + j.Steps[i].Estimate()
		longest = max(longest, ends[i])
	}
	return longest
}

// StaleFactor is how many times its objective a job may take before its completion
// is of no more use to its caller.
const StaleFactor = 3

// Objective gives how long after it is due an occurrence should have ended.
func (j *Job) Objective() time.Duration {
	return time.Duration(j.Queue.Stretch*float64(j.CriticalPath())) + time.Duration(j.Queue.ObjectiveMS)*time.Millisecond
}
