package instance

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// ownerWork counts what an owner spends its time on.
type ownerWork struct {
	steps, stepTime  atomic.Int64
	passes, passTime atomic.Int64
	lockTime         atomic.Int64
	callsOpen        atomic.Int64
	calls            atomic.Int64
	callsFailed      atomic.Int64
}

// workTotals are the counts of an ownerWork at one moment.
type workTotals struct {
	steps, passes, calls, callsFailed int64
	// callsOpen is the number of calls to workers in progress, with holds that wait.
	callsOpen int64
	// stepTime is the time in the core of the cell, passTime the part of it in steps with a
	// placement pass, lockTime the sum of the waits for the state of the cell.
	stepTime, passTime, lockTime time.Duration
}

func (w *ownerWork) totals() workTotals {
	return workTotals{
		steps: w.steps.Load(), passes: w.passes.Load(), calls: w.calls.Load(), callsFailed: w.callsFailed.Load(),
		callsOpen: w.callsOpen.Load(), stepTime: time.Duration(w.stepTime.Load()), passTime: time.Duration(w.passTime.Load()),
		lockTime: time.Duration(w.lockTime.Load()),
	}
}

// minus returns what was added since earlier totals; callsOpen stays as it is.
func (t workTotals) minus(earlier workTotals) workTotals {
	if earlier.steps > t.steps { // of an earlier term
		return t
	}
	t.steps -= earlier.steps
	t.passes -= earlier.passes
	t.calls -= earlier.calls
	t.callsFailed -= earlier.callsFailed
	t.stepTime -= earlier.stepTime
	t.passTime -= earlier.passTime
	t.lockTime -= earlier.lockTime
	return t
}

func (t workTotals) attrs() []slog.Attr {
	return []slog.Attr{
		slog.Int64("steps", t.steps), slog.Duration("in_steps", t.stepTime), slog.Int64("passes", t.passes), slog.Duration("in_passes", t.passTime),
		slog.Duration("lock_waits", t.lockTime), slog.Int64("calls", t.calls), slog.Int64("calls_failed", t.callsFailed), slog.Int64("calls_open", t.callsOpen),
	}
}

// callBegan counts a call to a worker; the function that it returns counts the end.
func (w *ownerWork) callBegan() (ended func(error)) {
	w.calls.Add(1)
	w.callsOpen.Add(1)
	return func(err error) {
		w.callsOpen.Add(-1)
		if err != nil {
			w.callsFailed.Add(1)
		}
	}
}

// stepped counts a step of the core that took a time, and made placement passes or not.
func (w *ownerWork) stepped(took time.Duration, passed bool) {
	w.steps.Add(1)
	w.stepTime.Add(int64(took))
	if passed {
		w.passes.Add(1)
		w.passTime.Add(int64(took))
	}
}
