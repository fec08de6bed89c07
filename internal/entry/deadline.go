package entry

import (
	"time"

	"coltsfootmux/internal/config"
)

const (
	// defaultTimeout is how long a request waits when its caller doesn't say.
	defaultTimeout = 30 * time.Second
	// defaultJobTimeout is the deadline of a job when its caller doesn't say.
	defaultJobTimeout = 24 * time.Hour
	// acceptTimeout is how long a caller waits for a job to be recorded.
	acceptTimeout = 10 * time.Second
	// answerGrace lets the owner's word at the deadline reach the caller.
	answerGrace = 500 * time.Millisecond
)

// deadlineOf gives the deadline that a caller set, or the default.
func deadlineOf(now, deadline time.Time, timeout *config.Duration, usual time.Duration) time.Time {
	switch {
	case !deadline.IsZero():
		return deadline
	case timeout != nil:
		return now.Add(timeout.D())
	}
	return now.Add(usual)
}
