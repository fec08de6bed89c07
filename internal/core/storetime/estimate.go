package storetime

import "time"

const (
	// maxAge is the age of the last answer after which the estimate is not used any more.
	maxAge = 3 * time.Second
	// newAnswerWeight is the weight of a new answer in the mean. With it a change shows
	// within three answers.
	newAnswerWeight = 0.4
	// appendTimeFactor is the number of mean response times that an append is given, for
	// the appends ahead of it in the queue of its partition and for itself.
	appendTimeFactor = 6
	// MinAppendTime and MaxAppendTime bound the time that an append is given. Within the
	// minimum the store answers under load and from another region; the maximum leaves a
	// caller with a time limit of 3 s the time for another attempt.
	MinAppendTime = 700 * time.Millisecond
	MaxAppendTime = 2 * time.Second
)

// Estimate is a moving mean of the store's response times. The zero value has no
// estimate.
type Estimate struct {
	mean      time.Duration
	updatedAt time.Duration
}

// Answered adds the response time of a call.
func (e *Estimate) Answered(now, took time.Duration) {
	if e.Mean(now) == 0 {
		e.mean = took
	} else {
		e.mean += time.Duration(newAnswerWeight * float64(took-e.mean))
	}
	e.updatedAt = now
}

// Adopt replaces the estimate by that of another process that calls the store all the
// time. It ignores a mean of 0.
func (e *Estimate) Adopt(now, mean time.Duration) {
	if mean > 0 {
		e.mean, e.updatedAt = mean, now
	}
}

// Mean returns the mean, or 0 if there was no recent answer.
func (e *Estimate) Mean(now time.Duration) time.Duration {
	if e.mean == 0 || now-e.updatedAt > maxAge {
		return 0
	}
	return e.mean
}

// AppendTime returns how long an append may take.
func (e *Estimate) AppendTime(now time.Duration) time.Duration {
	return min(max(appendTimeFactor*e.Mean(now), MinAppendTime), MaxAppendTime)
}
