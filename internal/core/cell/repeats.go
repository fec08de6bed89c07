package cell

import (
	"coltsfootmux/internal/external"
)

// Calls to workers that stay without an answer are made again before their time
// is over. Starts and stops of one run, and holds, are idempotent at the worker,
// also when an earlier one is carried out seconds later: it then finds the run
// there or barred. Load pattern: a few in a hundred orders are lost or late, so
// that every second gang of thirty has a member without an answer.

// mayRepeat takes one of the tick's repeats.
func (c *Core) mayRepeat() bool {
	if c.repeatsLeft <= 0 {
		return false
	}
	c.repeatsLeft--
	return true
}

// tickStart sends a start again that has had no answer in time.
func (c *Core) tickStart(r *run) {
	if r.repeats < maxResends && c.now.Mono-r.sent > resendAfter && r.worker.holdFails == 0 && c.mayStart() && c.mayRepeat() {
		r.repeats++
		c.sendStart(r)
	}
}

// repeatStart sends a start again whose call failed without an answer.
func (c *Core) repeatStart(r *run) {
	if r.state != runStarting {
		return
	}
	if !c.mayStart() {
		c.doubt(r)
		return
	}
	r.repeats++
	c.sendStart(r)
}

// repeatFailed takes in that one of several calls for a start has failed. An
// earlier one may have been carried out, or may be yet, whatever this one says.
func (c *Core) repeatFailed(r *run, ev Started) {
	if r.state != runStarting {
		return
	}
	if ev.Failure == FailureUnclear && r.repeats < maxResends {
		c.repeatStart(r)
		return
	}
	if ev.Refusal != external.RefusedNone {
		c.noteRefusal(r, ev.Refusal)
	}
	c.doubt(r)
}

// repeatHold asks a worker again whose answer to a hold is overdue.
func (c *Core) repeatHold(w *worker) {
	if w.holdIssue == 0 || w.holdFails > 0 || w.overdue >= maxResends {
		return
	}
	since := w.asked + w.askedWait
	if w.overdue > 0 {
		since = w.overdueAt
	}
	if c.now.Mono-since <= resendAfter || !c.mayRepeat() {
		return
	}
	w.overdue++
	w.overdueAt = c.now.Mono
	w.probe, w.probeIssue = true, 0
}

// settleHold notes that a hold is no longer in flight. One without an answer is
// not waited for once the worker has answered a later one.
func (c *Core) settleHold(w *worker, ev Listed) {
	switch {
	case ev.Issue == w.holdIssue:
		w.holdIssue = 0
	case ev.Issue == w.probeIssue:
		w.probeIssue = 0
		if w.overdue > 0 && ev.Failure == FailureNone {
			w.holdIssue = 0
		}
	default:
		return
	}
	w.holdNext = c.now.Mono
}
