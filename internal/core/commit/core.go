package commit

import "time"

// Times of tries.
const (
	// MinHedge and HedgeMost bound how long a try may stay without an answer
	// before the next is made. The least covers a store that answers 26 times
	// slower than usual, the most leaves a caller of 3 s a second try.
	MinHedge = 350 * time.Millisecond
	MaxHedge = 1400 * time.Millisecond
	// hedgeTimes is how many usual answer times of the store a try may take.
	hedgeTimes = 4
	// pause lies between two rounds of tries when the outcome is in doubt.
	pause = 200 * time.Millisecond
	// leastTry is the time that a try needs to be worth making; one that is cut
	// off by the deadline leaves a doubt behind.
	leastTry = 250 * time.Millisecond
	// MaxAttempts bounds the tries for one record.
	MaxAttempts = 12
	// askAfter is how long a record goes without an answer before the owner is asked
	// for it; two round trips between regions. askEvery lies between two questions.
	askAfter = 150 * time.Millisecond
	askEvery = 200 * time.Millisecond
	// askWait is how long a refusal by every route waits for the owner's word.
	askWait = 150 * time.Millisecond
)

// hedgeAfter gives how long a try may stay without an answer.
func hedgeAfter(storeTime time.Duration) time.Duration {
	return min(max(hedgeTimes*storeTime, MinHedge), MaxHedge)
}

type try struct {
	route   Route
	at      time.Duration
	pending bool
}

// Core is the way of one record.
type Core struct {
	deadline time.Duration
	// routes are those that may be used, best first.
	routes []Route
	next   int
	tries  []try
	// hedge is how long a try may stay without an answer.
	hedge time.Duration
	// doubt says that some try has ended unclear.
	doubt bool
	// refused counts refusals in a row.
	refused int
	// tryAt is when the next try is due, askAt when the next question to the owner.
	tryAt time.Duration
	askAt time.Duration
	// asking says that a question is open, told that one was answered.
	asking bool
	told   bool
	// refuseAt is when a refusal by every route ends the way; 0 while there is none.
	refuseAt time.Duration
	// away says that the store served this process for no topic at the start.
	away  bool
	ended bool
}

// New makes the way of a record that has time until deadline.
func New(deadline time.Duration, w Options) *Core {
	return &Core{deadline: deadline, routes: w.routes(), hedge: hedgeAfter(w.StoreTime), away: len(w.DirectTopics) == 0}
}

// Start makes the first try. Where the store is away, the record may be a repeat
// of one that it took before.
func (c *Core) Start(now time.Duration) []Action {
	c.askAt = now + askAfter
	if c.away {
		c.askAt = now
	}
	return c.ask(now, c.try(now, nil))
}

// Step takes an event in.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	if c.ended {
		return nil
	}
	switch e := ev.(type) {
	case AttemptAnswer:
		return c.answered(now, e)
	case OwnerAnswer:
		return c.heard(now, e)
	}
	return nil
}

func (c *Core) answered(now time.Duration, a AttemptAnswer) []Action {
	if a.Attempt >= len(c.tries) || !c.tries[a.Attempt].pending {
		return nil
	}
	t := &c.tries[a.Attempt]
	t.pending = false
	switch a.Result {
	case Done:
		return c.end(Done, nil)
	case OutcomeUnknown:
		c.doubt = true
		c.refused = 0
		return c.unclear(now, t.at)
	case NotWritten:
		c.refused++
	}
	if c.refused >= len(c.routes) {
		return c.allRefused(now)
	}
	return c.try(now, nil)
}

// unclear asks the owner for the record. The next try is made at once if a
// connection broke; what ran out of time may be in the store's queue.
func (c *Core) unclear(now, began time.Duration) []Action {
	c.askAt = now
	out := c.ask(now, nil)
	if now-began < MinHedge || now-began >= c.hedge {
		return c.try(now, out)
	}
	c.tryAt = min(c.tryAt, began+c.hedge)
	return out
}

// heard takes in what the owner says.
func (c *Core) heard(now time.Duration, t OwnerAnswer) []Action {
	c.asking, c.told = false, true
	switch {
	case t.Known:
		return c.end(Done, nil)
	case c.refuseAt > 0:
		return c.end(NotWritten, nil)
	}
	if t.StoreTime > 0 {
		c.hedge = hedgeAfter(t.StoreTime)
		if c.pending() {
			c.tryAt = min(c.tries[len(c.tries)-1].at+c.hedge, c.deadline)
		}
	}
	c.askAt = now + askEvery
	return nil
}

// Wake takes the time that Next gave in.
func (c *Core) Wake(now time.Duration) []Action {
	switch {
	case c.ended:
		return nil
	case now >= c.deadline:
		return c.end(c.verdict(), nil)
	case c.refuseAt > 0:
		if now < c.refuseAt {
			return nil
		}
		return c.end(NotWritten, nil)
	}
	var out []Action
	if now >= c.tryAt {
		out = c.try(now, out)
	}
	if c.ended {
		return out
	}
	return c.ask(now, out)
}

// Next gives when Wake is to be called.
func (c *Core) Next() time.Duration {
	if c.refuseAt > 0 {
		return min(c.refuseAt, c.deadline)
	}
	next := min(c.tryAt, c.deadline)
	if !c.asking {
		next = min(next, c.askAt)
	}
	return next
}

// ask asks the owner when that is due.
func (c *Core) ask(now time.Duration, out []Action) []Action {
	if c.asking || now < c.askAt || c.ended {
		return out
	}
	c.asking = true
	return append(out, AskOwner{})
}

// allRefused ends the way if nothing can have been written, once the owner had the
// time to say whether it knows the record from an earlier call. Otherwise the
// outcome has to be found out, and the routes are tried again.
func (c *Core) allRefused(now time.Duration) []Action {
	if c.doubt || c.pending() {
		c.refused = 0
		c.tryAt = now + pause
		return nil
	}
	if c.told {
		return c.end(NotWritten, nil)
	}
	c.refuseAt = now + askWait
	c.askAt = now
	return c.ask(now, nil)
}

// try makes the next try if there is time for one.
func (c *Core) try(now time.Duration, out []Action) []Action {
	c.tryAt = now + c.hedge
	if c.deadline-now < leastTry && len(c.tries) > 0 || len(c.tries) >= MaxAttempts {
		c.tryAt = c.deadline
		if !c.doubt && !c.pending() {
			return c.end(NotWritten, out)
		}
		return out // the owner may know it yet
	}
	route := c.routes[c.next%len(c.routes)]
	c.next++
	c.tries = append(c.tries, try{route: route, at: now, pending: true})
	return append(out, StartAttempt{Attempt: len(c.tries) - 1, Route: route})
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
		return OutcomeUnknown
	}
	return NotWritten
}

func (c *Core) end(r Result, out []Action) []Action {
	c.ended = true
	return append(out, Finish{Result: r})
}
