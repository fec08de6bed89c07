package retry

import (
	"time"

	"coltsfootmux/internal/external"
)

const (
	// burstWindow is the time within which failures of several workers count as a burst.
	burstWindow = time.Second
	// minBurstWorkers and burstWorkerShare are the number of workers, and the share of the
	// pool, that must fail within burstWindow. Fewer failures may be the tasks' own fault.
	minBurstWorkers  = 3
	burstWorkerShare = 0.003
	// burstEndDelay is the time after the last failure at which a burst is over. Workers
	// that failed are tried again after a pause of 2 s, so that a burst that has not ended
	// shows within this time.
	burstEndDelay = 2500 * time.Millisecond
	// provenWorkerWait and lastTryWait limit how long a task waits for a proven worker:
	// provenWorkerWait if it has more tries left, lastTryWait if one more failure ends its
	// job. The latter is longer than a burst of 7 s and the time until it counts as over.
	provenWorkerWait = time.Second
	lastTryWait      = 12 * time.Second
)

// Pool holds the recent failures of a pool.
type Pool struct {
	// recent holds the latest failure of each worker within burstWindow, oldest first.
	recent []failure
	// burstStart is the first failure of the present burst, lastFailure the latest one.
	burstStart  time.Duration
	lastFailure time.Duration
	inBurst     bool
}

type failure struct {
	worker external.WorkerID
	at     time.Duration
}

// Failed records that a run failed soon after its start on worker w, in a pool with the
// given number of workers.
func (p *Pool) Failed(now time.Duration, w external.WorkerID, workers int) {
	p.expire(now)
	for i, f := range p.recent {
		if f.worker == w {
			p.recent = append(p.recent[:i:i], p.recent[i+1:]...)
			break
		}
	}
	p.recent = append(p.recent, failure{worker: w, at: now})
	p.lastFailure = now
	if p.inBurst || len(p.recent) < max(minBurstWorkers, int(burstWorkerShare*float64(workers))) {
		return
	}
	p.inBurst, p.burstStart = true, p.recent[0].at
}

// expire forgets failures that are too old to matter.
func (p *Pool) expire(now time.Duration) {
	if p.inBurst && now-p.lastFailure > burstEndDelay {
		p.inBurst = false
	}
	n := 0
	for n < len(p.recent) && now-p.recent[n].at > burstWindow {
		n++
	}
	p.recent = p.recent[n:]
}

// InFailureBurst reports whether many workers fail the runs that are started there.
func (p *Pool) InFailureBurst(now time.Duration) bool {
	return p.inBurst && now-p.lastFailure <= burstEndDelay
}

// WorkerHistory records when runs on one worker made progress or failed.
type WorkerHistory struct {
	// latestGoodStart is the latest start of a run that made progress, failedAt the time of
	// the last failure of a run soon after its start.
	latestGoodStart time.Duration
	failedAt        time.Duration
}

// MadeProgress records that a run that began at the given time has made progress or
// completed.
func (h *WorkerHistory) MadeProgress(began time.Duration) {
	h.latestGoodStart = max(h.latestGoodStart, began)
}

// Failed records that a run failed soon after its start.
func (h *WorkerHistory) Failed(now time.Duration) { h.failedAt = now }

// FailedBefore reports whether the worker's last failure was before the given time.
func (h *WorkerHistory) FailedBefore(at time.Duration) bool { return h.failedAt < at }

// IsProven reports whether a run that was started on the worker since the burst began
// has made progress, and none has failed after that start. Earlier runs prove nothing:
// the worker may continue them and fail new ones.
func (p *Pool) IsProven(h *WorkerHistory) bool {
	return h.latestGoodStart >= p.burstStart && h.latestGoodStart > h.failedAt
}

// Task is what the next try of a task depends on.
type Task struct {
	// Failures is the number of its failed runs, MaxTries how many end its job.
	Failures int
	MaxTries int
	// FailedAt is when the last run failed.
	FailedAt time.Duration
}

// NeedsProvenWorker reports whether the task must wait for a proven worker.
func (p *Pool) NeedsProvenWorker(now time.Duration, t Task) bool {
	if t.Failures == 0 || !p.InFailureBurst(now) {
		return false
	}
	wait := provenWorkerWait
	if t.Failures+1 >= t.MaxTries {
		wait = lastTryWait
	}
	return now-t.FailedAt < wait
}
