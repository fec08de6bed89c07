package retry

import (
	"time"

	"coltsfootmux/internal/external"
)

const (
	// window is the time in which failures of several workers count as one trouble.
	window = time.Second
	// leastWorkers and workerShare are how many workers, and what part of the pool,
	// must fail in a window: tasks also fail by their own fault.
	leastWorkers = 3
	workerShare  = 0.003
	// calmAfter is how long after its last failure a trouble is over: workers that
	// failed are tried again after a pause of 2 s, so that a trouble that goes on shows.
	calmAfter = 2500 * time.Millisecond
	// nextTry and lastTry bound how long a task waits for a worker that got on:
	// one with tries left, and one that ends its job by failing once more. The latter
	// outlives a trouble of 7 s and the time until it counts as over.
	nextTry = time.Second
	lastTry = 12 * time.Second
)

// Pool is what is known of failures in one pool.
type Pool struct {
	// recent are the last failures, oldest first, one a worker.
	recent []failure
	// since is the first failure of the present trouble, last its latest.
	since    time.Duration
	last     time.Duration
	troubled bool
}

type failure struct {
	worker external.WorkerID
	at     time.Duration
}

// Failed takes in that a run failed soon after its start on a worker, in a pool of
// so many workers.
func (p *Pool) Failed(now time.Duration, w external.WorkerID, workers int) {
	p.expire(now)
	for i, f := range p.recent {
		if f.worker == w {
			p.recent = append(p.recent[:i:i], p.recent[i+1:]...)
			break
		}
	}
	p.recent = append(p.recent, failure{worker: w, at: now})
	p.last = now
	if p.troubled || len(p.recent) < max(leastWorkers, int(workerShare*float64(workers))) {
		return
	}
	p.troubled, p.since = true, p.recent[0].at
}

// expire forgets what is too old to matter.
func (p *Pool) expire(now time.Duration) {
	if p.troubled && now-p.last > calmAfter {
		p.troubled = false
	}
	n := 0
	for n < len(p.recent) && now-p.recent[n].at > window {
		n++
	}
	p.recent = p.recent[n:]
}

// InFailureBurst says whether many workers fail what they start.
func (p *Pool) InFailureBurst(now time.Duration) bool { return p.troubled && now-p.last <= calmAfter }

// WorkerHistory is what a worker's runs say of it.
type WorkerHistory struct {
	// began is the latest start of a run that got on, failed when the last one
	// failed soon after its start.
	began  time.Duration
	failed time.Duration
}

// MadeProgress takes in that a run that began at a time has got on or ended well.
func (r *WorkerHistory) MadeProgress(began time.Duration) { r.began = max(r.began, began) }

// Failed takes in that a run failed soon after its start.
func (r *WorkerHistory) Failed(now time.Duration) { r.failed = now }

// FailedBefore says whether the worker last failed a run before a time.
func (r *WorkerHistory) FailedBefore(at time.Duration) bool { return r.failed < at }

// IsProven says whether a worker got on with something that it was given since the
// trouble began, and has not failed after that. Runs of before say nothing: a
// worker may go on with them and fail what is new.
func (p *Pool) IsProven(r *WorkerHistory) bool { return r.began >= p.since && r.began > r.failed }

// Task is what the next try of a task depends on.
type Task struct {
	// Failures counts its failed runs, Tries how many there may be.
	Failures int
	MaxTries int
	// FailedAt is when the last one failed.
	FailedAt time.Duration
}

// NeedsProvenWorker says whether the task waits for a worker that got on.
func (p *Pool) NeedsProvenWorker(now time.Duration, t Task) bool {
	if t.Failures == 0 || !p.InFailureBurst(now) {
		return false
	}
	wait := nextTry
	if t.Failures+1 >= t.MaxTries {
		wait = lastTry
	}
	return now-t.FailedAt < wait
}
