package core

import "time"

// checksPerDial is the number of checks in the time that a dial may take.
const checksPerDial = 4

// DialTimer decides when a dial is given up. As with silence, time in which this process did not run its
// checks counts up to a bound: the peer's answer may wait to be read.
type DialTimer struct {
	limit     time.Duration
	unopened  silence
	lastCheck time.Time
}

// NewDialTimer returns the timer of a dial that begins now and may take a limit.
func NewDialTimer(now time.Time, limit time.Duration) DialTimer {
	return DialTimer{limit: limit, unopened: silence{since: now}, lastCheck: now}
}

// Interval returns the time after which the next check is due.
func (t *DialTimer) Interval() time.Duration { return t.limit / checksPerDial }

// Expired reports whether the dial must be given up. It is called at each check.
func (t *DialTimer) Expired(now time.Time) bool {
	t.unopened.extend(now, t.lastCheck, t.Interval())
	t.lastCheck = now
	return t.unopened.counted >= t.limit
}
