package cell

import (
	"coltsfootmux/internal/external"
)

// Calls to workers that stay without an answer are made again before their time
// is over. Starts and stops of one run, and holds, are idempotent at the worker,
// also when an earlier one is carried out seconds later: it then finds the run
// there or barred. Load pattern: a few in a hundred orders are lost or late, so
// that every second gang of thirty has a member without an answer.

// takeResend takes one of the tick's repeats.
func (c *Core) takeResend() bool {
	if c.resendsLeft <= 0 {
		return false
	}
	c.resendsLeft--
	return true
}

// followUpStart sends a start again that has had no answer in time.
func (c *Core) followUpStart(r *run) {
	if r.startResends < maxRepeats && c.now.Mono-r.startSentAt > repeatAfter && r.worker.holdFailures == 0 && c.mayStart() && c.takeResend() {
		r.startResends++
		c.sendStart(r)
	}
}

// resendStart sends a start again whose call failed without an answer.
func (c *Core) resendStart(r *run) {
	if r.state != runStarting {
		return
	}
	if !c.mayStart() {
		c.startUnconfirmed(r)
		return
	}
	r.startResends++
	c.sendStart(r)
}

// resentStartFailed takes in that one of several calls for a start has failed. An
// earlier one may have been carried out, or may be yet, whatever this one says.
func (c *Core) resentStartFailed(r *run, ev StartAnswered) {
	if r.state != runStarting {
		return
	}
	if ev.Failure == FailureOutcomeUnknown && r.startResends < maxRepeats {
		c.resendStart(r)
		return
	}
	if ev.Refusal != external.RefusedNone {
		c.recordRefusal(r, ev.Refusal)
	}
	c.startUnconfirmed(r)
}

// probeIfOverdue asks a worker again whose answer to a hold is overdue.
func (c *Core) probeIfOverdue(w *worker) {
	if w.waitingHold == 0 || w.holdFailures > 0 || w.holdResends >= maxRepeats {
		return
	}
	since := w.holdSentAt + w.holdMaxWait
	if w.holdResends > 0 {
		since = w.holdResentAt
	}
	if c.now.Mono-since <= repeatAfter || !c.takeResend() {
		return
	}
	w.holdResends++
	w.holdResentAt = c.now.Mono
	w.probeDue, w.probeHold = true, 0
}

// holdCompleted notes that a hold is no longer in flight. One without an answer is
// not waited for once the worker has answered a later one.
func (c *Core) holdCompleted(w *worker, ev HoldAnswered) {
	switch {
	case ev.Number == w.waitingHold:
		w.waitingHold = 0
	case ev.Number == w.probeHold:
		w.probeHold = 0
		if w.holdResends > 0 && ev.Failure == FailureNone {
			w.waitingHold = 0
		}
	default:
		return
	}
	w.nextHoldAt = c.now.Mono
}
