package cell

import (
	"coltsfootmux/internal/external"
)

// Calls to workers that are not answered in time are sent again before they time
// out. Starts and stops of one run, and holds, are idempotent at the worker, even if
// the first call is carried out seconds after the second: it then finds that the run
// exists or that the worker will never start it. Load pattern: a few percent of the
// orders are lost or late, so that every second gang of thirty has a member whose
// start is not answered.

// takeResend reports whether the current tick may resend one more call, and counts
// it.
func (c *Core) takeResend() bool {
	if c.resendsLeft <= 0 {
		return false
	}
	c.resendsLeft--
	return true
}

// followUpStart resends a start that was not answered in time.
func (c *Core) followUpStart(r *run) {
	if r.startResends < maxResends && c.now.Mono-r.startSentAt > c.answerTime(resendAfter) && r.worker.holdFailures == 0 && c.mayStart() && c.takeResend() {
		r.startResends++
		c.sendStart(r)
	}
}

// resendStart resends a start whose call failed without an answer. If the term was
// not confirmed recently enough, the start's outcome stays unknown.
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

// resentStartFailed processes the failure of one of several calls for the same start.
// Whatever its cause, another of the calls may have been carried out or may still be.
func (c *Core) resentStartFailed(r *run, ev StartAnswered) {
	if r.state != runStarting {
		return
	}
	if ev.Failure == FailureOutcomeUnknown && r.startResends < maxResends {
		c.resendStart(r)
		return
	}
	if ev.Refusal != external.RefusedNone {
		c.recordRefusal(r, ev.Refusal)
	}
	c.startUnconfirmed(r)
}

// probeIfOverdue makes a probe due if the worker's answer to a hold is overdue.
func (c *Core) probeIfOverdue(w *worker) {
	if w.waitingHold == 0 || w.holdFailures > 0 || w.holdResends >= maxResends {
		return
	}
	since := w.holdSentAt + w.holdMaxWait
	if w.holdResends > 0 {
		since = w.holdResentAt
	}
	if c.now.Mono-since <= c.answerTime(resendAfter) || !c.takeResend() {
		return
	}
	w.holdResends++
	w.holdResentAt = c.now.Mono
	w.probeDue, w.probeHold = true, 0
}

// holdCompleted records that a hold is no longer in flight. An overdue hold counts as
// completed once the worker has answered a later probe.
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
