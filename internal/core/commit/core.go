package commit

import "time"

// Times and limits of attempts.
const (
	// MinHedge and MaxHedge bound how long an attempt may go unanswered before the next
	// one starts. The minimum covers a store that answers 26 times slower than usual; the
	// maximum leaves a caller with a time limit of 3 s a second attempt.
	MinHedge = 350 * time.Millisecond
	MaxHedge = 1400 * time.Millisecond
	// hedgeFactor is the number of usual response times of the store that an attempt is
	// given before the next one starts.
	hedgeFactor = 4
	// roundPause is the pause before the routes are tried again while the outcome is
	// unknown.
	roundPause = 200 * time.Millisecond
	// minAttemptTime is the time that must be left for a further attempt. An attempt that
	// is cut off by the deadline would leave the outcome unknown.
	minAttemptTime = 250 * time.Millisecond
	// MaxAttempts limits the attempts for one record.
	MaxAttempts = 12
	// askOwnerAfter is how long a record goes unanswered before the owner is asked for it:
	// two round trips between regions. askOwnerInterval is the pause after an answer of the
	// owner before it is asked again.
	askOwnerAfter    = 150 * time.Millisecond
	askOwnerInterval = 200 * time.Millisecond
	// ownerAnswerWait is how long to wait for the owner's answer once every route has
	// refused the record.
	ownerAnswerWait = 150 * time.Millisecond
)

// hedgeAfter returns how long an attempt may go unanswered before the next one starts.
func hedgeAfter(storeTime time.Duration) time.Duration {
	return min(max(hedgeFactor*storeTime, MinHedge), MaxHedge)
}

type attempt struct {
	route   Route
	at      time.Duration
	pending bool
}

// Core is the state of the commit of one record.
type Core struct {
	deadline time.Duration
	// routes are the usable routes, best first.
	routes    []Route
	nextRoute int
	attempts  []attempt
	// hedge is how long an attempt may go unanswered before the next one starts.
	hedge time.Duration
	// mayBeWritten says that the outcome of some attempt is unknown.
	mayBeWritten bool
	// refusals counts successive refusals.
	refusals int
	// attemptAt is when the next attempt is due, askOwnerAt when the owner is to be asked
	// next.
	attemptAt  time.Duration
	askOwnerAt time.Duration
	// askPending says that an AskOwner is unanswered, ownerAnswered that one was answered.
	askPending    bool
	ownerAnswered bool
	// giveUpAt is when the commit ends as not written because every route has refused the
	// record; 0 unless that is so.
	giveUpAt time.Duration
	// cutOff says that the store served this process for no topic at the start.
	cutOff   bool
	finished bool
}

// New returns the state for a record that must be committed by deadline.
func New(deadline time.Duration, o Options) *Core {
	return &Core{deadline: deadline, routes: o.routes(), hedge: hedgeAfter(o.StoreTime), cutOff: len(o.DirectTopics) == 0}
}

// Start makes the first attempt. If the store does not serve this process, it also asks
// the owner at once, as the record may repeat one that was written before.
func (c *Core) Start(now time.Duration) []Action {
	c.askOwnerAt = now + askOwnerAfter
	if c.cutOff {
		c.askOwnerAt = now
	}
	return c.askOwner(now, c.startAttempt(now, nil))
}

// Step processes an event.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	if c.finished {
		return nil
	}
	switch e := ev.(type) {
	case AttemptAnswer:
		return c.onAttemptAnswer(now, e)
	case OwnerAnswer:
		return c.onOwnerAnswer(now, e)
	}
	return nil
}

func (c *Core) onAttemptAnswer(now time.Duration, a AttemptAnswer) []Action {
	if a.Attempt >= len(c.attempts) || !c.attempts[a.Attempt].pending {
		return nil
	}
	t := &c.attempts[a.Attempt]
	t.pending = false
	switch a.Result {
	case Done:
		return c.finish(Done, nil)
	case OutcomeUnknown:
		c.mayBeWritten = true
		c.refusals = 0
		return c.onOutcomeUnknown(now, t.at)
	case NotWritten:
		c.refusals++
	}
	if c.refusals >= len(c.routes) {
		return c.allRefused(now)
	}
	return c.startAttempt(now, nil)
}

// onOutcomeUnknown asks the owner for the record. The next attempt starts at once if the
// connection broke; an append that timed out may still be in the store's queue.
func (c *Core) onOutcomeUnknown(now, began time.Duration) []Action {
	c.askOwnerAt = now
	out := c.askOwner(now, nil)
	if now-began < MinHedge || now-began >= c.hedge {
		return c.startAttempt(now, out)
	}
	c.attemptAt = min(c.attemptAt, began+c.hedge)
	return out
}

// onOwnerAnswer processes the owner's answer.
func (c *Core) onOwnerAnswer(now time.Duration, t OwnerAnswer) []Action {
	c.askPending, c.ownerAnswered = false, true
	switch {
	case t.IsRead:
		return c.finish(Done, nil)
	case c.giveUpAt > 0:
		return c.finish(NotWritten, nil)
	}
	if t.StoreTime > 0 {
		c.hedge = hedgeAfter(t.StoreTime)
		if c.pending() {
			c.attemptAt = min(c.attempts[len(c.attempts)-1].at+c.hedge, c.deadline)
		}
	}
	c.askOwnerAt = now + askOwnerInterval
	return nil
}

// Wake does what is due. It must be called at the time that Next returns.
func (c *Core) Wake(now time.Duration) []Action {
	switch {
	case c.finished:
		return nil
	case now >= c.deadline:
		return c.finish(c.resultAtDeadline(), nil)
	case c.giveUpAt > 0:
		if now < c.giveUpAt {
			return nil
		}
		return c.finish(NotWritten, nil)
	}
	var out []Action
	if now >= c.attemptAt {
		out = c.startAttempt(now, out)
	}
	if c.finished {
		return out
	}
	return c.askOwner(now, out)
}

// Next returns the time of the next call of Wake.
func (c *Core) Next() time.Duration {
	if c.giveUpAt > 0 {
		return min(c.giveUpAt, c.deadline)
	}
	next := min(c.attemptAt, c.deadline)
	if !c.askPending {
		next = min(next, c.askOwnerAt)
	}
	return next
}

// askOwner asks the owner if that is due.
func (c *Core) askOwner(now time.Duration, out []Action) []Action {
	if c.askPending || now < c.askOwnerAt || c.finished {
		return out
	}
	c.askPending = true
	return append(out, AskOwner{})
}

// allRefused ends the commit if no attempt can have written the record, once the owner
// has had time to say whether it has read one that an earlier call wrote. Otherwise the
// outcome must be found out, and the routes are tried again.
func (c *Core) allRefused(now time.Duration) []Action {
	if c.mayBeWritten || c.pending() {
		c.refusals = 0
		c.attemptAt = now + roundPause
		return nil
	}
	if c.ownerAnswered {
		return c.finish(NotWritten, nil)
	}
	c.giveUpAt = now + ownerAnswerWait
	c.askOwnerAt = now
	return c.askOwner(now, nil)
}

// startAttempt starts the next attempt if there is time for one.
func (c *Core) startAttempt(now time.Duration, out []Action) []Action {
	c.attemptAt = now + c.hedge
	if c.deadline-now < minAttemptTime && len(c.attempts) > 0 || len(c.attempts) >= MaxAttempts {
		c.attemptAt = c.deadline
		if !c.mayBeWritten && !c.pending() {
			return c.finish(NotWritten, out)
		}
		return out // the owner may still read the record
	}
	route := c.routes[c.nextRoute%len(c.routes)]
	c.nextRoute++
	c.attempts = append(c.attempts, attempt{route: route, at: now, pending: true})
	return append(out, StartAttempt{Attempt: len(c.attempts) - 1, Route: route})
}

func (c *Core) pending() bool {
	for _, t := range c.attempts {
		if t.pending {
			return true
		}
	}
	return false
}

// resultAtDeadline returns the result if nothing more is learned.
func (c *Core) resultAtDeadline() Result {
	if c.mayBeWritten || c.pending() {
		return OutcomeUnknown
	}
	return NotWritten
}

func (c *Core) finish(r Result, out []Action) []Action {
	c.finished = true
	return append(out, Finish{Result: r})
}
