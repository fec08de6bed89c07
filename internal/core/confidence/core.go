package confidence

import "time"

const (
	// checkInterval is the time between two checks of the owner.
	checkInterval = time.Second
	// spanOfAll is for how long an owner that answers no check is trusted, minOfAll the least number
	// of checks in it.
	spanOfAll = 3 * time.Second
	minOfAll  = 3
	// spanOfMost is for how long one that leaves most checks unanswered is, minOfMost the least number
	// of checks in it.
	spanOfMost = 8 * time.Second
	minOfMost  = 6
	// renewedWithin is how recent the latest renewal has to be for a vote. An owner that does not
	// renew its term is replaced without one. A weak instance reads the topic once a second.
	renewedWithin = 2500 * time.Millisecond
	// maxTickGap is a time without a tick after which this process must have been paused. Ticks come
	// late on weak machines under load.
	maxTickGap = 1500 * time.Millisecond
	// firstVoteInterval and maxVoteInterval bound the time between two votes against one term; it
	// doubles. A vote counts for the first, so a witness votes again after that time if others have voted.
	firstVoteInterval = 10 * time.Second
	maxVoteInterval   = 5 * time.Minute
)

// Core is the judgement of one instance. It is not safe for concurrent use.
type Core struct {
	now  time.Duration
	view View
	// termSince is when the term was first seen, renewedAt when its latest renewal was.
	termSince, renewedAt time.Duration
	// lastTick is the time of the latest tick, resumedAt that of the first one after a pause.
	lastTick, resumedAt time.Duration
	nextCheck           time.Duration
	checks              window
	// lastAnswer is when a check was sent that was answered, or the first one of the term.
	lastAnswer time.Duration
	// silent says that the owner does not answer, silentSince when the latest check before was sent
	// that it answered.
	silent      bool
	silentSince time.Duration
	// nextAsk is the earliest time at which the other witnesses are asked again.
	nextAsk time.Duration
	// nextVote is the earliest time of the next vote, and voteInterval the time between the two
	// latest.
	nextVote, voteInterval time.Duration
	actions                []Action
}

// New returns the state of an instance that knows no term.
func New() *Core { return &Core{} }

// SilentFor returns how long ago the latest check was sent that the owner has answered; 0 if it
// answered the latest one, or this instance is no witness.
func (c *Core) SilentFor(now time.Duration) time.Duration {
	if !c.view.Witness || len(c.checks) == 0 || c.checks[len(c.checks)-1].answered {
		return 0
	}
	return now - c.lastAnswer
}

// Step processes an event and returns the resulting actions.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.now, c.actions = now, nil
	switch e := ev.(type) {
	case Tick:
		c.onTick(e.View)
	case Checked:
		c.onChecked(e)
	case OthersAsked:
		c.onOthersAsked(e)
	}
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) onTick(v View) {
	if c.now-c.lastTick > maxTickGap {
		// The owner may have answered while this process did not run.
		c.resumedAt = c.now
		c.forget()
	}
	c.lastTick = c.now
	c.follow(v)
	if !v.Witness {
		c.forget()
		return
	}
	c.check()
	c.judge()
}

// follow adopts what is known of the term.
func (c *Core) follow(v View) {
	if v.Term != c.view.Term || v.OwnerAddr != c.view.OwnerAddr {
		c.forget()
		c.termSince, c.nextCheck, c.nextVote, c.voteInterval = c.now, c.now, 0, 0
	}
	if v.Term != c.view.Term || v.Renewal != c.view.Renewal {
		c.renewedAt = c.now
	}
	c.view = v
}

// forget drops the results of all checks.
func (c *Core) forget() {
	c.setSilent(false)
	c.checks, c.lastAnswer = nil, c.now
}

// check has the owner checked if that is due.
func (c *Core) check() {
	if c.now < c.nextCheck {
		return
	}
	c.nextCheck = c.now + checkInterval
	c.emit(Check{Term: c.view.Term, Addr: c.view.OwnerAddr})
}

func (c *Core) onChecked(e Checked) {
	if e.Term != c.view.Term || !c.view.Witness || e.SentAt < c.resumedAt {
		return
	}
	c.checks = c.checks.add(c.now, result{sentAt: e.SentAt, answered: e.Answered})
	c.setSilent(c.checks.silent(c.now))
	if e.Answered {
		c.lastAnswer = max(c.lastAnswer, e.SentAt)
	}
}

// setSilent records whether the owner fails to answer, and says so if that has changed.
func (c *Core) setSilent(silent bool) {
	if silent == c.silent {
		return
	}
	if c.silent = silent; silent {
		c.silentSince = c.lastAnswer
	}
	c.emit(Changed{Term: c.view.Term, Addr: c.view.OwnerAddr, Silent: silent, For: c.now - c.silentSince})
}

// judge asks the other witnesses if a vote is due, as this instance may itself be the one that is
// cut off.
func (c *Core) judge() {
	c.setSilent(c.checks.silent(c.now))
	if !c.mayVote() || c.now < c.nextAsk {
		return
	}
	c.nextAsk = c.now + checkInterval
	if len(c.view.Others) == 0 {
		c.vote(0)
		return
	}
	c.emit(AskOthers{Term: c.view.Term, Addrs: c.view.Others, Further: c.view.Further})
}

// mayVote reports whether a vote could change anything that a claim does not.
func (c *Core) mayVote() bool {
	v := c.view
	return c.silent && v.Witness && v.StoreServes && !v.VotedOut && c.voteIsDue() &&
		c.now-c.termSince >= v.LeastTenure && c.now-c.renewedAt <= renewedWithin
}

// voteIsDue reports whether enough time has passed since the latest vote.
func (c *Core) voteIsDue() bool {
	return c.now >= c.nextVote || c.view.OthersVote && c.now >= c.nextVote-c.voteInterval+firstVoteInterval
}

// onOthersAsked votes if this instance and the witnesses that answer it are most of all, or if it is so
// with the further instances: most witnesses may be cut off as the owner is.
func (c *Core) onOthersAsked(e OthersAsked) {
	if e.Term == c.view.Term && c.mayVote() && (most(e.Answered, e.Asked) || most(e.Answered+e.FurtherAnswered, e.Asked+e.FurtherAsked)) {
		c.vote(e.Silent)
	}
}

// most reports whether this instance and those that have answered are most of all.
func most(answered, asked int) bool { return 2*(answered+1) > asked+1 }

// vote votes, with the number of other instances that the owner does not answer either.
func (c *Core) vote(others int) {
	c.voteInterval = min(max(2*c.voteInterval, firstVoteInterval), maxVoteInterval)
	c.nextVote = c.now + c.voteInterval
	c.emit(Vote{Term: c.view.Term, Unanswered: 1 + others})
}
