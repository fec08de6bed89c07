package route

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/limits"
	"coltsfootmux/internal/mapping"
	"coltsfootmux/internal/model"
)

// Router holds the known owners of key groups and the calls in progress. It is
// not safe for concurrent use.
type Router struct {
	opts    Options
	mapping *mapping.Mapping
	// schedulers holds the schedulers' addresses, the nearest first.
	schedulers []string
	owners     map[model.GroupID]owner
	calls      map[CallID]*call
	budget     *limits.RetryBudget
}

// New returns a router that knows no configuration and no hosts.
func New(o Options) *Router {
	return &Router{
		opts: o, owners: make(map[model.GroupID]owner), calls: make(map[CallID]*call),
		budget: limits.NewRetryBudget(0, retryReserve),
	}
}

// OpenCalls returns the number of calls in progress.
func (r *Router) OpenCalls() int { return len(r.calls) }

// Step handles an event and returns the next action for its call.
func (r *Router) Step(now time.Time, ev Event) Action {
	switch ev := ev.(type) {
	case Configured:
		r.onConfigured(ev.Mapping)
		r.budget.SetShare(ev.RetryShare)
	case HostsRead:
		r.schedulers = schedulersByDistance(&r.opts, ev.Hosts)
	case Begin:
		return r.onBegin(now, ev)
	case Answered:
		r.onAnswered(ev)
	case Moved:
		return r.onMoved(now, ev)
	case NotExecuted:
		return r.onNotExecuted(now, ev)
	case OutcomeUnknown:
		return r.onOutcomeUnknown(now, ev.ID)
	case SleepEnded:
		return r.onSleepEnded(now, ev.ID)
	case Expired:
		return r.onExpired(ev.ID)
	}
	return Nothing{}
}

// onConfigured discards the known owners if the number of groups has changed.
func (r *Router) onConfigured(m *mapping.Mapping) {
	if r.mapping != nil && r.mapping.Groups() != m.Groups() {
		clear(r.owners)
	}
	r.mapping = m
}

func (r *Router) onBegin(now time.Time, b Begin) Action {
	if r.mapping == nil || r.mapping.Groups() == 0 {
		return GiveUp{Outcome: model.OutcomeNotRun, Reason: model.ReasonNotConfigured, RetryAfter: overloadRetryAfter}
	}
	r.budget.First()
	c := &call{group: r.mapping.Group(b.Key), deadline: b.Deadline, triedInRound: make(map[string]bool)}
	r.calls[b.ID] = c
	return r.next(now, c)
}

// onAnswered records the scheduler that answered as the group's owner.
func (r *Router) onAnswered(s Answered) {
	c := r.calls[s.ID]
	if c == nil {
		return
	}
	r.recordOwner(c.group, c.lastAddr, s.Epoch)
	delete(r.calls, s.ID)
}

// recordOwner records a group's owner. The recorded epoch never decreases.
func (r *Router) recordOwner(g model.GroupID, addr string, e model.Epoch) {
	r.owners[g] = owner{addr: addr, epoch: max(e, r.owners[g].epoch)}
}

func (r *Router) onMoved(now time.Time, m Moved) Action {
	c := r.calls[m.ID]
	if c == nil {
		return Nothing{}
	}
	if m.Epoch > c.lastEpoch {
		r.recordOwner(c.group, c.lastAddr, m.Epoch)
		return r.send(c, c.lastAddr)
	}
	r.forgetOwner(c)
	c.ownerHint = m.Owner.Addr
	return r.next(now, c)
}

func (r *Router) onNotExecuted(now time.Time, n NotExecuted) Action {
	c := r.calls[n.ID]
	if c == nil {
		return Nothing{}
	}
	if !n.Overloaded {
		r.forgetOwner(c)
		return r.next(now, c)
	}
	c.overloads++
	if c.overloads >= maxOverloads && !c.mayHaveExecuted {
		delete(r.calls, n.ID)
		return GiveUp{Outcome: model.OutcomeNotRun, Reason: model.ReasonQueueFull, RetryAfter: overloadRetryAfter}
	}
	return r.endRound(now, c)
}

func (r *Router) onOutcomeUnknown(now time.Time, id CallID) Action {
	c := r.calls[id]
	if c == nil {
		return Nothing{}
	}
	c.mayHaveExecuted = true
	r.forgetOwner(c)
	return r.next(now, c)
}

func (r *Router) onSleepEnded(now time.Time, id CallID) Action {
	c := r.calls[id]
	if c == nil {
		return Nothing{}
	}
	clear(c.triedInRound)
	return r.next(now, c)
}

// onExpired ends a call whose caller no longer waits. Its outcome is OutcomeNotRun
// if the call certainly had no effect at any scheduler.
func (r *Router) onExpired(id CallID) Action {
	c := r.calls[id]
	if c == nil {
		return Nothing{}
	}
	delete(r.calls, id)
	if c.mayHaveExecuted {
		return GiveUp{Outcome: model.OutcomeUnknown, Reason: model.ReasonOwnerLost}
	}
	return GiveUp{Outcome: model.OutcomeNotRun, Reason: model.ReasonNoOwner}
}

// forgetOwner discards the known owner's address if the call was sent there.
func (r *Router) forgetOwner(c *call) {
	if o := r.owners[c.group]; o.addr == c.lastAddr {
		o.addr = ""
		r.owners[c.group] = o
	}
}

// next sends the call to the best scheduler not yet tried in this round, or ends
// the round.
func (r *Router) next(now time.Time, c *call) Action {
	if len(c.triedInRound) < maxSendsPerRound {
		if addr := r.candidate(c); addr != "" {
			return r.send(c, addr)
		}
	}
	return r.endRound(now, c)
}

func (r *Router) send(c *call, addr string) Action {
	c.lastAddr, c.lastEpoch = addr, r.owners[c.group].epoch
	c.triedInRound[addr] = true
	c.ownerHint = ""
	return Send{Addr: addr, Epoch: c.lastEpoch}
}

// candidate returns the scheduler to try next in this round: the owner that the
// last scheduler named, the known owner or the nearest other one; "" if none is
// left.
func (r *Router) candidate(c *call) string {
	if c.ownerHint != "" && !c.triedInRound[c.ownerHint] {
		return c.ownerHint
	}
	if o := r.owners[c.group].addr; o != "" && !c.triedInRound[o] {
		return o
	}
	return r.nearestUntried(c)
}

// nearestUntried returns the nearest scheduler not yet tried in this round. If the
// list is longer than a round, each round starts further down the list, so that
// in the end every scheduler is tried.
func (r *Router) nearestUntried(c *call) string {
	n := len(r.schedulers)
	if n == 0 {
		return ""
	}
	first := 0
	if n > maxSendsPerRound {
		first = c.rounds * maxSendsPerRound % n
	}
	for i := range n {
		if a := r.schedulers[(first+i)%n]; !c.triedInRound[a] {
			return a
		}
	}
	return ""
}

// endRound waits for the next round. If the retry budget is used up, the delay is
// the longest one.
func (r *Router) endRound(now time.Time, c *call) Action {
	c.rounds++
	wait := r.opts.Backoff.Wait(c.rounds, r.opts.Rand)
	if !r.budget.Retry() {
		wait = max(wait, r.opts.Backoff.Wait(maxBackoffRound, r.opts.Rand))
	}
	return Sleep{Duration: min(wait, max(c.deadline.Sub(now), 0))}
}

// maxBackoffRound is a round after which the backoff delay is at its maximum.
const maxBackoffRound = 30

// Schedulers returns the addresses of the listed schedulers, the nearest first.
func (r *Router) Schedulers() []string { return slices.Clone(r.schedulers) }
