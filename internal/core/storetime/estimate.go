package storetime

import "time"

const (
	// fresh is how old the last answer may be for the estimate to count.
	fresh = 3 * time.Second
	// share is the weight of a new answer; a change shows within three answers.
	share = 0.4
	// appendTimes is how many usual answer times an append is given: those ahead of
	// it in the queue of its partition, and its own.
	appendTimes = 6
	// MinAppendTime and AppendMost bound an append's time. In the least the store
	// answers under load and from another region; the most leaves a caller of 3 s
	// the time for another try.
	MinAppendTime = 700 * time.Millisecond
	MaxAppendTime = 2 * time.Second
)

// Estimate is the mean time of the latest answers. The zero value knows nothing.
type Estimate struct {
	mean time.Duration
	at   time.Duration
}

// Answered takes in that the store answered a call after a time.
func (e *Estimate) Answered(now, took time.Duration) {
	if e.Mean(now) == 0 {
		e.mean = took
	} else {
		e.mean += time.Duration(share * float64(took-e.mean))
	}
	e.at = now
}

// Adopt takes in the mean of another process that calls the store all the time.
func (e *Estimate) Adopt(now, mean time.Duration) {
	if mean > 0 {
		e.mean, e.at = mean, now
	}
}

// Mean gives the mean; 0 when there was no answer lately.
func (e *Estimate) Mean(now time.Duration) time.Duration {
	if e.mean == 0 || now-e.at > fresh {
		return 0
	}
	return e.mean
}

// AppendTime gives how long an append may take.
func (e *Estimate) AppendTime(now time.Duration) time.Duration {
	return min(max(appendTimes*e.Mean(now), MinAppendTime), MaxAppendTime)
}
