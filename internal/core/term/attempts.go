package term

import (
	"time"

	"coltsfootmux/internal/core/witness"
)

// attempts are the attempts to write one record on the condition of one end of the topic, any of
// which may succeed.
type attempts struct {
	record witness.Position
	end    int64
	// sentAt is when the first of them was sent that may have succeeded.
	sentAt time.Duration
	// pending is the number of those without a result; unknown says that the result of some is not
	// known.
	pending int
	unknown bool
}

// of reports whether r is the record that was sent.
func (a *attempts) of(r Record) bool { return r.position() == a.record }

// add records an attempt. It begins anew if none of the earlier ones can have succeeded, or can yet.
func (a *attempts) add(now time.Duration, r Record, end int64) {
	if !a.of(r) || end != a.end || a.pending == 0 && !a.unknown {
		*a = attempts{record: r.position(), end: end, sentAt: now}
	}
	a.pending++
}

// answered records the result of an attempt.
func (a *attempts) answered(e WriteResult) {
	if !a.of(e.Record) || e.ExpectedEnd != a.end {
		return
	}
	a.pending = max(0, a.pending-1)
	a.unknown = a.unknown || e.Outcome == WriteOutcomeUnknown || e.Outcome == WriteDone
}
