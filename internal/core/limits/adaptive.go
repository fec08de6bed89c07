package limits

import "time"

// AdaptiveOptions bounds an Adaptive limit.
type AdaptiveOptions struct {
	// Min and Max bound the limit.
	Min, Max int
	// Start is the first limit.
	Start int
	// Slow is the latency above which an answer counts as a sign of overload.
	Slow time.Duration
	// Shrink is the factor on overload, between 0 and 1.
	Shrink float64
	// Pause is the least time between two shrinks, so that one burst of bad
	// answers counts once.
	Pause time.Duration
}

// Adaptive is a concurrency limit for one target that grows by one for each
// round of good answers and shrinks by a factor on overload (AIMD).
type Adaptive struct {
	opts  AdaptiveOptions
	limit float64
	open  int
	// shrunk is when the limit last went down.
	shrunk time.Time
}

// NewAdaptive makes a limit at its start value.
func NewAdaptive(o AdaptiveOptions) *Adaptive {
	return &Adaptive{opts: o, limit: float64(min(max(o.Start, o.Min), o.Max))}
}

// Limit is how many may be open now.
func (a *Adaptive) Limit() int { return int(a.limit) }

// Open is how many are open.
func (a *Adaptive) Open() int { return a.open }

// Acquire opens one unless the limit is reached.
func (a *Adaptive) Acquire() bool {
	if a.open >= a.Limit() {
		return false
	}
	a.open++
	return true
}

// Release closes one that took latency; overloaded is set when the target
// refused it for load or did not answer.
func (a *Adaptive) Release(now time.Time, latency time.Duration, overloaded bool) {
	full := a.open >= a.Limit()
	a.open = max(0, a.open-1)
	switch {
	case overloaded || latency > a.opts.Slow:
		a.shrink(now)
	case full:
		a.limit = min(a.limit+1/a.limit, float64(a.opts.Max))
	}
}

func (a *Adaptive) shrink(now time.Time) {
	if !a.shrunk.IsZero() && now.Sub(a.shrunk) < a.opts.Pause {
		return
	}
	a.shrunk = now
	a.limit = max(a.limit*a.opts.Shrink, float64(a.opts.Min))
}
