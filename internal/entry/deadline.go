package entry

import (
	"time"

	"coltsfootmux/internal/config"
)

const (
	// defaultTimeout is the timeout of a request that sets none.
	defaultTimeout = 30 * time.Second
	// defaultJobTimeout is the timeout of a job that sets none.
	defaultJobTimeout = 24 * time.Hour
	// acceptTimeout bounds how long a caller waits until its job is recorded.
	acceptTimeout = 10 * time.Second
	// answerGrace is how long after a request's deadline the host still waits for
	// the answer that the owner sends at the deadline.
	answerGrace = 500 * time.Millisecond
)

// deadlineOf returns the deadline or the end of the timeout, whichever the caller
// has set, else the end of the fallback timeout.
func deadlineOf(now, deadline time.Time, timeout *config.Duration, fallback time.Duration) time.Time {
	switch {
	case !deadline.IsZero():
		return deadline
	case timeout != nil:
		return now.Add(timeout.D())
	}
	return now.Add(fallback)
}
