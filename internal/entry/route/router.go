package route

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/limits"
	"coltsfootmux/internal/mapping"
	"coltsfootmux/internal/model"
)

// Router holds what is known of the owners of key groups and the calls under way.
type Router struct {
	opts    Options
	mapping *mapping.Mapping
	// near holds the schedulers' addresses, the nearest first.
	near   []string
	owners map[model.GroupID]owner
	calls  map[Ticket]*call
	budget *limits.RetryBudget
}

// New makes a router that knows no configuration and no hosts.
func New(o Options) *Router {
	return &Router{
		opts: o, owners: make(map[model.GroupID]owner), calls: make(map[Ticket]*call),
		budget: limits.NewRetryBudget(0, retryReserve),
	}
}

// Open is how many calls are under way.
func (r *Router) Open() int { return len(r.calls) }

// Step takes an event and gives the next thing to do about its call.
func (r *Router) Step(now time.Time, ev Event) Action {
	switch ev := ev.(type) {
	case Configured:
		r.onConfigured(ev.Mapping)
		r.budget.SetShare(ev.RetryShare)
	case HostsSeen:
		r.near = nearest(&r.opts, ev.Hosts)
	case Begin:
		return r.onBegin(now, ev)
	case Settled:
		r.onSettled(ev)
	case Moved:
		return r.onMoved(now, ev)
	case NotTaken:
		return r.onNotTaken(now, ev)
	case Doubtful:
		return r.onDoubtful(now, ev.Ticket)
	case Woke:
		return r.onWoke(now, ev.Ticket)
	case Expired:
		return r.onExpired(ev.Ticket)
	}
	return Nothing{}
}

// onConfigured forgets the owners when the number of groups has changed.
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
	c := &call{group: r.mapping.Group(b.Key), until: b.Until, tried: make(map[string]bool)}
	r.calls[b.Ticket] = c
	return r.next(now, c)
}

// onSettled notes who answered for the group.
func (r *Router) onSettled(s Settled) {
	c := r.calls[s.Ticket]
	if c == nil {
		return
	}
	r.learn(c.group, c.asked, s.Epoch)
	delete(r.calls, s.Ticket)
}

// learn notes a group's owner. Epochs only rise.
func (r *Router) learn(g model.GroupID, addr string, e model.Epoch) {
	r.owners[g] = owner{addr: addr, epoch: max(e, r.owners[g].epoch)}
}

func (r *Router) onMoved(now time.Time, m Moved) Action {
	c := r.calls[m.Ticket]
	if c == nil {
		return Nothing{}
	}
	if m.Epoch > c.epoch {
		r.learn(c.group, c.asked, m.Epoch)
		return r.ask(c, c.asked)
	}
	r.disown(c)
	c.hint = m.Owner.Addr
	return r.next(now, c)
}

func (r *Router) onNotTaken(now time.Time, n NotTaken) Action {
	c := r.calls[n.Ticket]
	if c == nil {
		return Nothing{}
	}
	if !n.Overloaded {
		r.disown(c)
		return r.next(now, c)
	}
	c.overloads++
	if c.overloads >= overloadsToGiveUp && !c.doubt {
		delete(r.calls, n.Ticket)
		return GiveUp{Outcome: model.OutcomeNotRun, Reason: model.ReasonQueueFull, RetryAfter: overloadRetryAfter}
	}
	return r.sleep(now, c)
}

func (r *Router) onDoubtful(now time.Time, t Ticket) Action {
	c := r.calls[t]
	if c == nil {
		return Nothing{}
	}
	c.doubt = true
	r.disown(c)
	return r.next(now, c)
}

func (r *Router) onWoke(now time.Time, t Ticket) Action {
	c := r.calls[t]
	if c == nil {
		return Nothing{}
	}
	clear(c.tried)
	return r.next(now, c)
}

// onExpired ends a call whose caller no longer waits. Nothing ran when every
// ask provably did nothing.
func (r *Router) onExpired(t Ticket) Action {
	c := r.calls[t]
	if c == nil {
		return Nothing{}
	}
	delete(r.calls, t)
	if c.doubt {
		return GiveUp{Outcome: model.OutcomeUnknown, Reason: model.ReasonOwnerLost}
	}
	return GiveUp{Outcome: model.OutcomeNotRun, Reason: model.ReasonNoOwner}
}

// disown forgets the learned owner when it is the one that was asked in vain.
func (r *Router) disown(c *call) {
	if o := r.owners[c.group]; o.addr == c.asked {
		o.addr = ""
		r.owners[c.group] = o
	}
}

// next asks the best scheduler that this round hasn't asked, or ends the round.
func (r *Router) next(now time.Time, c *call) Action {
	if len(c.tried) < asksPerRound {
		if addr := r.candidate(c); addr != "" {
			return r.ask(c, addr)
		}
	}
	return r.sleep(now, c)
}

func (r *Router) ask(c *call, addr string) Action {
	c.asked, c.epoch = addr, r.owners[c.group].epoch
	c.tried[addr] = true
	c.hint = ""
	return Ask{Addr: addr, Epoch: c.epoch}
}

func (r *Router) candidate(c *call) string {
	if c.hint != "" && !c.tried[c.hint] {
		return c.hint
	}
	if o := r.owners[c.group].addr; o != "" && !c.tried[o] {
		return o
	}
	return r.untried(c)
}

// untried takes the nearest scheduler not asked in this round. Later rounds
// begin further down the list, so that a long list is covered in time.
func (r *Router) untried(c *call) string {
	n := len(r.near)
	if n == 0 {
		return ""
	}
	first := 0
	if n > asksPerRound {
		first = c.rounds * asksPerRound % n
	}
	for i := range n {
		if a := r.near[(first+i)%n]; !c.tried[a] {
			return a
		}
	}
	return ""
}

// sleep ends a round. When the retry budget is spent the wait is the longest.
func (r *Router) sleep(now time.Time, c *call) Action {
	c.rounds++
	wait := r.opts.Backoff.Wait(c.rounds, r.opts.Rand)
	if !r.budget.Retry() {
		wait = max(wait, r.opts.Backoff.Wait(maxRounds, r.opts.Rand))
	}
	return Sleep{For: min(wait, max(c.until.Sub(now), 0))}
}

// maxRounds stands for so many rounds that the backoff is at its longest.
const maxRounds = 30

// Schedulers gives the addresses of the schedulers seen, the nearest first.
func (r *Router) Schedulers() []string { return slices.Clone(r.near) }
