package fitness

import "time"

const (
	// minTenure is how long an owner has held its term before it compares itself with peers. It
	// doubles with each release for want of fitness that is not long ago, up to maxTenureDoublings times.
	minTenure          = 2 * time.Second
	maxTenureDoublings = 4
	// poorTime is how long many workers must have been silent.
	poorTime = time.Second
	// confirmDelay is the time to the probe that repeats one that found a better owner: single
	// calls get lost.
	confirmDelay = 300 * time.Millisecond
	// minInterval is the time to the next probe after one that led to nothing; it doubles up to
	// maxInterval, and begins anew once the workers have answered for maxInterval.
	minInterval = 2 * time.Second
	maxInterval = 16 * time.Second
)

// MinTenure returns how long an owner keeps its term at least after so many releases for want of
// fitness.
func MinTenure(handovers int64) time.Duration {
	return minTenure << min(max(handovers, 0), maxTenureDoublings)
}

// Core is an owner's judgement of itself during one term.
type Core struct {
	// nextProbe is the earliest time of the next probe, interval the time that was last kept
	// between two.
	nextProbe time.Duration
	interval  time.Duration
	probing   bool
	turn      int
	// found says that the latest probe found a better owner.
	found bool
	// poor says whether many workers are silent, since when the time of the last change.
	poor  bool
	since time.Duration
}

// New returns the state of an owner that has gained its term now, after the given number of
// releases of earlier terms for want of fitness.
func New(now time.Duration, handovers int64) *Core {
	return &Core{since: now, nextProbe: now + MinTenure(handovers)}
}

// Step processes an event and returns the resulting actions.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	switch e := ev.(type) {
	case Observed:
		return c.observed(now, e.Poor)
	case Probed:
		return c.probed(now, e)
	}
	return nil
}

func (c *Core) observed(now time.Duration, poor bool) []Action {
	if poor != c.poor {
		c.poor, c.since = poor, now
	}
	switch {
	case !poor:
		c.found = false
		if now-c.since >= maxInterval {
			c.interval = 0
		}
		return nil
	case c.probing || now < c.nextProbe || now-c.since < poorTime:
		return nil
	}
	c.probing = true
	return []Action{Probe{Turn: c.turn}}
}

func (c *Core) probed(now time.Duration, e Probed) []Action {
	c.probing = false
	p, better := judge(e.Own, e.Peers)
	switch {
	case !c.poor || !better:
		c.found = false
		c.turn++
		c.interval = min(max(2*c.interval, minInterval), maxInterval)
		c.nextProbe = now + c.interval
		return nil
	case !c.found && e.Own != 0:
		c.found = true
		c.nextProbe = now + confirmDelay
		return nil
	}
	c.found = false
	c.nextProbe = now + minInterval // in case that the term can't be released now
	return []Action{Release{Successor: p.Addr}}
}
