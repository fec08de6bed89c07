package limits

import (
	"time"

	"golang.org/x/time/rate"
)

// Rates limits how often each of a set of names may do something. Names that
// have been idle long enough to be full again cost nothing once Sweep has run.
type Rates[N comparable] struct {
	// Burst is how many seconds' worth may come at once.
	burst   time.Duration
	byName  map[N]*rate.Limiter
	checked map[N]time.Time
}

// NewRates makes a set in which each name may use what accrues over burst at once.
func NewRates[N comparable](burst time.Duration) *Rates[N] {
	return &Rates[N]{burst: burst, byName: make(map[N]*rate.Limiter), checked: make(map[N]time.Time)}
}

// Allow takes one from the name's allowance of perSecond, or gives how long to
// wait for the next.
func (r *Rates[N]) Allow(now time.Time, name N, perSecond float64) (ok bool, wait time.Duration) {
	l := r.limiter(now, name, perSecond)
	res := l.ReserveN(now, 1)
	if !res.OK() {
		return false, r.burst
	}
	if d := res.DelayFrom(now); d > 0 {
		res.CancelAt(now)
		return false, d
	}
	return true, 0
}

func (r *Rates[N]) limiter(now time.Time, name N, perSecond float64) *rate.Limiter {
	r.checked[name] = now
	burst := max(1, int(perSecond*r.burst.Seconds()))
	l := r.byName[name]
	if l == nil {
		l = rate.NewLimiter(rate.Limit(perSecond), burst)
		r.byName[name] = l
		return l
	}
	if l.Limit() != rate.Limit(perSecond) {
		l.SetLimitAt(now, rate.Limit(perSecond))
		l.SetBurstAt(now, burst)
	}
	return l
}

// Sweep forgets names that have not been used for longer than idle.
func (r *Rates[N]) Sweep(now time.Time, idle time.Duration) {
	for name, at := range r.checked {
		if now.Sub(at) > max(idle, r.burst) {
			delete(r.checked, name)
			delete(r.byName, name)
		}
	}
}

// Len is how many names are held.
func (r *Rates[N]) Len() int { return len(r.byName) }
