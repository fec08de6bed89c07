package worker

import (
	"slices"
	"sync"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// EndLost is the state of a run that ended because its worker restarted. It exists
// only in the journal; workers never report it.
const EndLost platform.EndState = "lost"

// Run is a task that was started, as recorded in the journal.
type Run struct {
	Worker  model.WorkerID    `json:"worker"`
	Key     model.Key         `json:"key"`
	Lease   model.LeaseID     `json:"lease"`
	Member  int               `json:"member"`
	Members int               `json:"members"`
	Attempt int               `json:"attempt"`
	Label   platform.Label    `json:"label"`
	Start   time.Time         `json:"start"`
	End     time.Time         `json:"end"`
	State   platform.EndState `json:"state"`
}

// Running reports whether the task has not ended.
func (r Run) Running() bool { return r.State == "" }

// maxRuns limits the runs in the journal.
const maxRuns = 400_000

// journal holds the latest runs, for checks that count duplicate and lost work. It
// is not part of the worker's state: no call reads it, and it survives restarts.
type journal struct {
	mu       sync.Mutex
	firstNum int // the number of the first run kept
	runs     []Run
}

func (j *journal) recordStart(w model.WorkerID, l *lease, now time.Time) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.runs) >= maxRuns {
		j.runs = slices.Clone(j.runs[maxRuns/2:])
		j.firstNum += maxRuns / 2
	}
	j.runs = append(j.runs, Run{
		Worker:  w,
		Key:     l.label.Key,
		Lease:   l.id,
		Member:  l.label.Member,
		Members: l.label.Members,
		Attempt: l.label.Attempt,
		Label:   l.label,
		Start:   now,
	})
	return j.firstNum + len(j.runs) - 1
}

func (j *journal) recordEnd(run int, state platform.EndState, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if run < j.firstNum {
		return
	}
	j.runs[run-j.firstNum].State = state
	j.runs[run-j.firstNum].End = now
}

func (j *journal) all() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.runs)
}
