package worker

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootmux/internal/platform"
)

// endingOf gives the ending of a lease's task. Only a task that came to its own
// end has an answer.
func endingOf(l *lease, how platform.EndState, at time.Time) platform.Ending {
	var answer []byte
	if how == platform.EndDone || how == platform.EndFailed {
		answer = l.task.plan.Answer
	}
	return platform.Ending{
		Lease:  l.id,
		Label:  l.label,
		State:  how,
		Ran:    at.Sub(l.task.began),
		Answer: answer,
		Sum:    xxhash.Sum64(answer),
	}
}
