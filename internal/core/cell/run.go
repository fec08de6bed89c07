package cell

import (
	"time"

	"coltsfootmux/internal/job"
)

type runState int

const (
	// runStarting waits for the answer to its start.
	runStarting runState = iota
	// runDoubt was ordered and not answered; it may be running or start late.
	runDoubt
	runRunning
	// runStopping has been ordered to stop.
	runStopping
)

// run is one run of a task on a worker. It takes room until it is over.
type run struct {
	task   job.TaskID
	number int64
	// unit is nil for a run of no known task.
	unit   *unit
	worker *worker
	state  runState
	takes  job.Resources
	// since is when the run was ordered or found.
	since time.Duration
	// mark is the number of the last hold issued before the state was entered:
	// only lists of later holds speak about it.
	mark int64
	// checkpoint is what the run was started from.
	checkpoint string
	// sent is when the start was last sent, repeats how often it was sent again. Once
	// it was, no single answer says that nothing was started.
	sent    time.Duration
	repeats int
	// stopRepeats is how often the stop was sent again.
	stopRepeats int
	// stopSent is when the last stop was sent, stopAcked when one was answered.
	stopSent  time.Duration
	stopAcked time.Duration
	reason    StopReason
	saved     string
	percent   int
	// moved is when percent last changed, and since when it has been running.
	moved   time.Duration
	began   time.Duration
	missing int
	// figure is what the worker said of the run's last half second; pace is the
	// share of its speed that it was ordered to work at, at paced.
	figure int
	pace   int
	paced  time.Duration
	// doubted is since when it is not known whether the start was carried out.
	doubted time.Duration
	// listedAt is when a list last showed the run.
	listedAt time.Duration
	// resumed runs began from a checkpoint; their progress says little.
	resumed bool
}

// attach puts the run on its worker and unit.
func (r *run) attach() {
	r.worker.runs = append(r.worker.runs, r)
	r.worker.used = r.worker.used.Plus(r.takes)
	if r.unit != nil {
		r.unit.runs = append(r.unit.runs, r)
		r.unit.state = unitActive
	}
}

// detach gives the run's room back.
func (r *run) detach() {
	r.worker.runs = without(r.worker.runs, r)
	r.worker.used = r.worker.used.Minus(r.takes)
	if r.unit != nil {
		r.unit.runs = without(r.unit.runs, r)
	}
}

func without(runs []*run, r *run) []*run {
	for i, o := range runs {
		if o == r {
			return append(runs[:i:i], runs[i+1:]...)
		}
	}
	return runs
}

// find gives the worker's run of a task, or nil.
func (w *worker) find(t job.TaskID, number int64) *run {
	for _, r := range w.runs {
		if r.number == number && r.task == t {
			return r
		}
	}
	return nil
}

// unsaved gives the work in core-seconds that is lost when the run is stopped
// now. A stop makes a checkpoint, so that only the time to restore it is lost.
func (r *run) unsaved(now, restore time.Duration) float64 {
	if r.unit == nil {
		return 0
	}
	age := now - r.since
	if r.unit.group.step.Checkpoints {
		age = min(age, restore)
	}
	return r.takes.Cores() * age.Seconds()
}

// settled says whether a list of a hold numbered issue speaks about the run's state.
func (r *run) settled(issue int64) bool { return issue > r.mark }
