package blame

import "time"

const (
	// startWindow is the age up to which a run is to blame for a crash even while many
	// workers crash: a task that crashes its workers does so at its start, and the crash
	// shows within a few round trips between regions.
	startWindow = 500 * time.Millisecond
	// youngAge is the same while few workers crash.
	youngAge = 2 * time.Second
	// proofWindow is the age up to which a run that was alone proves that its task is to
	// blame. In a longer time a worker may crash by chance.
	proofWindow = 250 * time.Millisecond
	// SurvivalTime is how long a suspect must run to be cleared.
	SurvivalTime = 3 * time.Second
	// burstWindow is the time within which the failures of several workers count as a burst,
	// if they are minBurstWorkers or burstShare of all workers, whichever is more.
	burstWindow     = 500 * time.Millisecond
	minBurstWorkers = 4
	burstShare      = 0.03
	// unexplainedTime is how long after a crash without a suspect further crashes may have
	// the same unknown cause.
	unexplainedTime = 10 * time.Second
	// failuresKept bounds the failures that are remembered.
	failuresKept = 256
)

// Limits of the crashes under one task.
const (
	// minCrashes is the number of crashes from which on a task may be given up.
	minCrashes = 2
	// maxCrashes is the number at which it is given up in any case.
	maxCrashes = 3
)

// Run is a run on a worker that has crashed.
type Run struct {
	// Age is how long before the first sign of the crash the run was ordered.
	Age time.Duration
	// Crashes is how many workers had crashed under the run's task before.
	Crashes int
}

// Task is what is known of a task when a worker has crashed under it.
type Task struct {
	// Crashes is how many workers have crashed under it.
	Crashes int
	// Alone says that no other task ran on the last of them, Age how old its run was.
	Alone bool
	Age   time.Duration
	// Started says that the worker is known to have started the run. Otherwise it may have
	// crashed before the order arrived.
	Started bool
}

// History is what is known of the failures of a pool's workers. The zero value is ready for
// use.
type History struct {
	// failures holds the first signs of workers that stopped answering, oldest first.
	failures []time.Duration
	// unexplainedAt is the last crash without a suspect, if crashed.
	unexplainedAt time.Duration
	unexplained   bool
}

// WorkerFailed records the first sign that a worker has stopped answering.
func (h *History) WorkerFailed(at time.Duration) {
	if len(h.failures) >= failuresKept {
		h.failures = h.failures[1:]
	}
	h.failures = append(h.failures, at)
}

// Crashed records the crash of a worker that stopped answering at the given time, in a pool
// of so many workers, and returns the indexes of the runs that may be to blame.
func (h *History) Crashed(failedAt time.Duration, workers int, runs []Run) []int {
	blamed := indexes(runs, func(r Run) bool { return r.Crashes > 0 })
	switch {
	case len(blamed) > 0:
	case h.isBurst(failedAt, workers):
		blamed = indexes(runs, func(r Run) bool { return r.Age <= startWindow })
	default:
		limit := max(youngAge, youngest(runs))
		blamed = indexes(runs, func(r Run) bool { return r.Age <= limit })
	}
	if len(blamed) == 0 {
		h.unexplained, h.unexplainedAt = true, max(h.unexplainedAt, failedAt)
	}
	return blamed
}

// GivesUp reports whether a task has crashed so many workers that it is given up. The second
// crash is enough if the task was alone and had certainly just been started, and no workers
// crash for reasons of their own.
func (h *History) GivesUp(now time.Duration, t Task) bool {
	if t.Crashes >= maxCrashes {
		return true
	}
	background := h.unexplained && now-h.unexplainedAt <= unexplainedTime
	return t.Crashes >= minCrashes && t.Alone && t.Started && t.Age <= proofWindow && !background
}

// isBurst reports whether many workers stopped answering at about the same time.
func (h *History) isBurst(at time.Duration, workers int) bool {
	n := 0
	for _, f := range h.failures {
		if f >= at-burstWindow && f <= at+burstWindow {
			n++
		}
	}
	return n >= max(minBurstWorkers, int(burstShare*float64(workers)))
}

func youngest(runs []Run) time.Duration {
	age := time.Duration(0)
	for i, r := range runs {
		if i == 0 || r.Age < age {
			age = r.Age
		}
	}
	return age
}

func indexes(runs []Run, ok func(Run) bool) []int {
	var out []int
	for i, r := range runs {
		if ok(r) {
			out = append(out, i)
		}
	}
	return out
}
