package commit

import "time"

// Times of tries.
const (
	// HedgeAfter is how long a try may stay without an answer before the next is
	// made; a store that answers 26 times slower than usual is still in time.
	HedgeAfter = 350 * time.Millisecond
	// pause lies between two rounds of tries when the outcome is in doubt.
	pause = 200 * time.Millisecond
	// leastTry is the time that a try needs to be worth making; one that is cut
	// off by the deadline leaves a doubt behind.
	leastTry = 250 * time.Millisecond
	// MaxTries bounds the tries for one record.
	MaxTries = 12
)

// Result is what became of a try.
type Result int

// The results of a try.
const (
	// Done means that the record is durable.
	Done Result = iota
	// Refused means that nothing was written.
	Refused
	// Unclear means that it may have been written, or may be yet.
	Unclear
)

// Answer is what became of a try.
type Answer struct {
	Try    int
	Result Result
}

// Action is what is to be done.
type Action interface{ action() }

// Try makes a try over a route.
type Try struct {
	Try   int
	Route Route
}

// End ends the record's way. No try's answer matters any more.
type End struct{ Result Result }

func (Try) action() {}
func (End) action() {}

type try struct {
	route   Route
	pending bool
}

// Core is the way of one record.
type Core struct {
	deadline time.Duration
	// routes are those that may be used, best first.
	routes []Route
	next   int
	tries  []try
	// doubt says that some try has ended unclear.
	doubt bool
	// refused counts refusals in a row.
	refused int
	wakeAt  time.Duration
	ended   bool
}

// New makes the way of a record that has time until deadline.
func New(deadline time.Duration, w Ways) *Core {
	return &Core{deadline: deadline, routes: w.routes()}
}

// Start makes the first try.
func (c *Core) Start(now time.Duration) []Action { return c.try(now, nil) }

// Step takes an answer in.
func (c *Core) Step(now time.Duration, a Answer) []Action {
	if c.ended || a.Try >= len(c.tries) || !c.tries[a.Try].pending {
		return nil
	}
	c.tries[a.Try].pending = false
	switch a.Result {
	case Done:
		return c.end(Done, nil)
	case Unclear:
		c.doubt = true
		c.refused = 0
	case Refused:
		c.refused++
	}
	if c.refused >= len(c.routes) {
		return c.allRefused(now)
	}
	return c.try(now, nil)
}

// Wake takes the time that Next gave in.
func (c *Core) Wake(now time.Duration) []Action {
	if c.ended {
		return nil
	}
	if now >= c.deadline {
		return c.end(c.verdict(), nil)
	}
	if now < c.wakeAt {
		return nil
	}
	return c.try(now, nil)
}

// Next gives when Wake is to be called.
func (c *Core) Next() time.Duration { return min(c.wakeAt, c.deadline) }

// allRefused ends the way at once if nothing can have been written; otherwise
// the outcome has to be found out, and the routes are tried again.
func (c *Core) allRefused(now time.Duration) []Action {
	if !c.doubt && !c.pending() {
		return c.end(Refused, nil)
	}
	c.refused = 0
	c.wakeAt = now + pause
	return nil
}

// try makes the next try if there is time for one.
func (c *Core) try(now time.Duration, out []Action) []Action {
	c.wakeAt = now + HedgeAfter
	if c.deadline-now < leastTry && len(c.tries) > 0 || len(c.tries) >= MaxTries {
		c.wakeAt = c.deadline
		if !c.pending() {
			return c.end(c.verdict(), out)
		}
		return out
	}
	route := c.routes[c.next%len(c.routes)]
	c.next++
	c.tries = append(c.tries, try{route: route, pending: true})
	return append(out, Try{Try: len(c.tries) - 1, Route: route})
}

func (c *Core) pending() bool {
	for _, t := range c.tries {
		if t.pending {
			return true
		}
	}
	return false
}

// verdict says what is known when the time is up.
func (c *Core) verdict() Result {
	if c.doubt || c.pending() {
		return Unclear
	}
	return Refused
}

func (c *Core) end(r Result, out []Action) []Action {
	c.ended = true
	return append(out, End{Result: r})
}
