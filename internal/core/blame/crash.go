package blame

import (
	"slices"
	"time"
)

const (
	// startWindow is the age up to which a run is to blame for a crash even while many
	// workers crash: a task that crashes its workers does so at its start, and the crash
	// shows within a few round trips between regions.
	startWindow = 500 * time.Millisecond
	// youngAge is the same while few workers crash.
	youngAge = 2 * time.Second
	// proofWindow is the age up to which a run's crash speaks against its task. In a longer
	// time a worker may crash by chance.
	proofWindow = 250 * time.Millisecond
	// ProbeInterval is how often a worker on which a suspect is tried is asked.
	ProbeInterval = 200 * time.Millisecond
	// StartSurvivalTime is how long a task must run to show that it does not crash its workers
	// at its start, SurvivalTime how long to be cleared of all suspicion.
	StartSurvivalTime = time.Second
	SurvivalTime      = 3 * time.Second
	// burstWindow is the time within which the failures of several workers count as a burst,
	// if they are minBurstWorkers or burstShare of all workers, whichever is more.
	burstWindow     = 500 * time.Millisecond
	minBurstWorkers = 4
	burstShare      = 0.03
	// failuresKept bounds the failures that are remembered.
	failuresKept = 256
)

// Number of crashes at its start at which a task is given up.
const (
	maxStartCrashes = 2
	// maxStartCrashesAmidOthers replaces maxStartCrashes while more than maxBackground of all
	// workers crashed within BackgroundTime for other reasons: two crashes may then be chance.
	maxStartCrashesAmidOthers = 3
	maxBackground             = 0.4
	// BackgroundTime is the time within which crashes for other reasons count.
	BackgroundTime = 10 * time.Second
)

// Run is a run on a worker that has crashed.
type Run struct {
	// Age is how long before the first sign of the crash the run was ordered.
	Age time.Duration
	// Crashes is how many workers had crashed under the run's task before.
	Crashes int
	// Unit tells the tasks and gangs of the runs apart.
	Unit int
}

// Crash is the crash of a worker under one of its runs.
type Crash struct {
	// Age is how old the run was at the first sign of the crash.
	Age time.Duration
	// Lived is how long after the run's start the worker is known to have lived, if Probed: it
	// was asked every ProbeInterval. A worker that crashes without closing its connections, or
	// behind a cut, gives the first sign of it much later.
	Lived  time.Duration
	Probed bool
	// Started says that the worker is known to have started the run. Otherwise it may have
	// crashed before the order arrived.
	Started bool
	// Youngest says that no other task had been started lately on the worker.
	Youngest bool
}

// IsAtStart reports whether the crash followed the run's start so closely that it is unlikely
// to be chance, and no other task explains it.
func (c Crash) IsAtStart() bool {
	return c.Started && c.Youngest && (c.Age <= proofWindow || c.Probed && c.Lived <= proofWindow)
}

// History is what is known of the failures of a pool's workers. The zero value is ready for
// use.
type History struct {
	// failures holds the first signs of workers that stopped answering, oldest first.
	failures []time.Duration
	// unexplained holds the recent crashes that no task's start explains, oldest first.
	unexplained []time.Duration
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
	if suspects := indexes(runs, func(r Run) bool { return r.Crashes > 0 }); len(suspects) > 0 {
		return suspects
	}
	limit := max(youngAge, youngest(runs))
	if h.isBurst(failedAt, workers) {
		limit = startWindow
	}
	return indexes(runs, func(r Run) bool { return r.Age <= limit })
}

// Unexplained records a crash that no task's start explains.
func (h *History) Unexplained(at time.Duration) {
	h.unexplained = slices.DeleteFunc(h.unexplained, func(t time.Duration) bool { return at-t > BackgroundTime })
	h.unexplained = append(h.unexplained, at)
}

// Pool is what is known of a pool besides its crashes.
type Pool struct {
	// Workers is the number of workers, Started how many of those that earlier owners used have
	// been started within BackgroundTime, which tells a new owner of crashes before its term.
	Workers int
	Started int
}

// GivesUp reports whether a task is given up after a crash: if so many workers have crashed at
// the start of its runs, the last one included, that chance is no explanation.
func (h *History) GivesUp(now time.Duration, p Pool, last Crash, startCrashes int) bool {
	background := countBetween(h.unexplained, now-BackgroundTime, now)
	needed := maxStartCrashes
	if float64(max(background, p.Started)) > maxBackground*float64(p.Workers) {
		needed = maxStartCrashesAmidOthers
	}
	return last.IsAtStart() && startCrashes >= needed
}

// IsYoungest reports whether no run of another task or gang had been started lately on the
// worker.
func IsYoungest(runs []Run, n int) bool {
	for _, r := range runs {
		if r.Unit != runs[n].Unit && r.Age <= startWindow {
			return false
		}
	}
	return true
}

// isBurst reports whether many workers stopped answering at about the same time.
func (h *History) isBurst(at time.Duration, workers int) bool {
	n := countBetween(h.failures, at-burstWindow, at+burstWindow)
	return n >= max(minBurstWorkers, int(burstShare*float64(workers)))
}

// countBetween returns the number of times from first to last, both included.
func countBetween(times []time.Duration, first, last time.Duration) int {
	n := 0
	for _, t := range times {
		if t >= first && t <= last {
			n++
		}
	}
	return n
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
