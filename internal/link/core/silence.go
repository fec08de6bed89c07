package core

import "time"

// maxTicksCounted bounds the tick intervals by which one check lengthens a silence. A check that comes
// later was delayed by this process, and frames that arrived meanwhile may not have been read yet.
const maxTicksCounted = 2

// silence measures for how long a sign of life has been missing. Time in which this process did not run
// its checks counts up to a bound.
//
// Load pattern: a process that was paused, or lacked processor time, would find all its peers silent in
// one check, and pay for new links to all of them while it is late already.
type silence struct {
	since   time.Time
	counted time.Duration
}

// end records a sign of life.
func (s *silence) end(now time.Time) { *s = silence{since: now} }

// extend counts the time up to a check. lastCheck is the time of the check before, tick the time that
// is due between two.
func (s *silence) extend(now, lastCheck time.Time, tick time.Duration) {
	from := lastCheck
	if s.since.After(from) {
		from = s.since
	}
	s.counted += min(now.Sub(from), maxTicksCounted*tick)
}
