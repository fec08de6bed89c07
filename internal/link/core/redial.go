package core

import "time"

const (
	// dialBackoffMin and dialBackoffMax are the first and the largest upper bound of the time between
	// failed dials.
	dialBackoffMin = 50 * time.Millisecond
	dialBackoffMax = 2 * time.Second
	// firstRedialShare divides the longest wait after silent links to give the first, and
	// redialGrowth multiplies a wait to give the next.
	firstRedialShare = 16
	redialGrowth     = 4
)

// Redial decides when an address is dialled again.
//
// Load pattern: a process that is short of time accepts links and then stays silent. If all its peers dialled
// it at once after each silent link, the new links would take the time that it lacks.
type Redial struct {
	limits Limits
	// failedDials is the number of dials in a row that failed.
	failedDials int
	// silentLinks is the number of links that opened and carried little, since the last that worked.
	silentLinks int
	retryAt     time.Time
}

// NewRedial returns the state of an address that may be dialled at once.
func NewRedial(l Limits) Redial { return Redial{limits: l} }

// MayDial reports whether the address may be dialled now.
func (r *Redial) MayDial(now time.Time) bool { return !now.Before(r.retryAt) }

// Failing reports whether the last dial failed.
func (r *Redial) Failing() bool { return r.failedDials > 0 }

// FailedDials returns the number of dials in a row that failed.
func (r *Redial) FailedDials() int { return r.failedDials }

// DialAtOnce lets the next dial begin at once.
func (r *Redial) DialAtOnce() { r.retryAt = time.Time{} }

// DialFailed takes a failed dial into account. jitter is a random number from 0 to 1.
func (r *Redial) DialFailed(now time.Time, jitter float64) {
	r.failedDials++
	top := min(dialBackoffMin<<min(r.failedDials-1, 10), dialBackoffMax)
	r.wait(now, dialBackoffMin/2+part(top, jitter))
}

// Opened takes a dial that opened a link into account.
func (r *Redial) Opened() { r.failedDials = 0 }

// Ended takes the end of a link into account. jitter is a random number from 0 to 1.
func (r *Redial) Ended(now time.Time, end LinkEnd, jitter float64) {
	switch {
	case end.Worked >= r.limits.SilenceTimeout:
		r.silentLinks = 0
	case end.carriedLittle():
		r.silentLinks++
		longest := r.silenceWait()
		r.wait(now, longest/2+part(longest/2, jitter))
	}
}

// silenceWait returns the longest wait after the latest silent link. There is none after the first, as
// the connection alone may have been lost.
func (r *Redial) silenceWait() time.Duration {
	if r.silentLinks < 2 {
		return 0
	}
	wait := r.limits.MaxRedialWait / firstRedialShare
	for n := 2; n < r.silentLinks && wait < r.limits.MaxRedialWait; n++ {
		wait *= redialGrowth
	}
	return min(wait, r.limits.MaxRedialWait)
}

func (r *Redial) wait(now time.Time, d time.Duration) { r.retryAt = now.Add(d) }

// part returns a share of d from 0 to 1.
func part(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }
