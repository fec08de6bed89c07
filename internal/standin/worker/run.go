package worker

import (
	"slices"
	"sync"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// EndLost is the state of a run that a restart of its worker cut off. No worker
// ever reports it.
const EndLost platform.EndState = "lost"

// Run is one task that did run, as it truly went.
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

// maxRuns bounds the runs that are kept.
const maxRuns = 400_000

// journal keeps the latest runs for those who count doubled and lost work. It
// is no part of the worker: no call reads it, and a restart leaves it.
type journal struct {
	mu   sync.Mutex
	base int // the number of the first run kept
	runs []Run
}

func (j *journal) began(w model.WorkerID, l *lease, now time.Time) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.runs) >= maxRuns {
		j.runs = slices.Clone(j.runs[maxRuns/2:])
		j.base += maxRuns / 2
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
	return j.base + len(j.runs) - 1
}

func (j *journal) finished(run int, how platform.EndState, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if run < j.base {
		return
	}
	j.runs[run-j.base].State = how
	j.runs[run-j.base].End = now
}

func (j *journal) all() []Run {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.runs)
}
