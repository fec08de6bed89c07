package worker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootmux/internal/platform"
)

// newEnding returns the ending of a lease's task. Only a task that was done or
// failed has an answer.
func newEnding(l *lease, state platform.EndState, at time.Time) platform.Ending {
	var answer []byte
	if state == platform.EndDone || state == platform.EndFailed {
		answer = l.task.plan.Answer
	}
	return platform.Ending{
		Lease:  l.id,
		Label:  l.label,
		State:  state,
		Ran:    at.Sub(l.task.startedAt),
		Answer: answer,
		Sum:    xxhash.Sum64(answer),
	}
}
