package ownership

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/model"
)

// Core is the ownership state machine of one scheduler.
type Core struct {
	set Settings
	// scopes is sorted by the scope's name; byScope finds one.
	scopes  []*scope
	byScope map[model.Scope]*scope
	// early keeps claims of scopes that no configuration has named yet.
	early map[model.Scope]ClaimRead
	hosts hosts
	// caughtUp says that the log's claims have been read up to its head once.
	caughtUp  bool
	draining  bool
	announced bool
	lastBeat  time.Time
	lastClaim time.Time
	out       []Action
}

// New makes a Core that knows of no scope and no host.
func New(s Settings) *Core {
	s = s.withDefaults()
	return &Core{
		set:     s,
		byScope: make(map[model.Scope]*scope),
		early:   make(map[model.Scope]ClaimRead),
		hosts:   newHosts(),
	}
}

// Step takes one event in. The actions are to be carried out in their order.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.out = nil
	switch e := ev.(type) {
	case Configured:
		c.configured(now, e)
	case HostsSeen:
		c.hosts.seen(e.Hosts)
	case ClaimRead:
		c.claimRead(now, e)
	case CaughtUp:
		c.onCaughtUp(now)
	case BeatReceived:
		c.beatReceived(now, e)
	case HandedOver:
		c.handedOver(now, e)
	case FenceAnswered:
		c.fenceAnswered(now, e)
	case ListAnswered:
		c.listAnswered(now, e)
	case HoldWanted:
		c.holdWanted(now, e)
	case HoldAnswered:
		c.holdAnswered(now, e)
	case Refused:
		c.refused(now, e)
	case Drain:
		c.drain(now)
	case Tick:
		c.tick(now)
	}
	return c.out
}

func (c *Core) do(a Action) { c.out = append(c.out, a) }

func (c *Core) tick(now time.Time) {
	for _, s := range c.scopes {
		c.advance(now, s)
		c.succeed(now, s)
	}
	c.beat(now)
	c.claimDue(now)
}

// configured takes the scopes of a configuration. A scope that is gone is lost;
// one whose workers changed is gained anew, as its guards are others.
func (c *Core) configured(now time.Time, e Configured) {
	old := c.byScope
	c.byScope = make(map[model.Scope]*scope, len(e.Targets))
	c.scopes = c.scopes[:0:0]
	for _, t := range e.Targets {
		s := old[t.Scope]
		if s == nil {
			s = &scope{rank: -1, vacant: now}
		}
		c.retarget(now, s, t)
		c.byScope[t.Scope] = s
		c.scopes = append(c.scopes, s)
		delete(old, t.Scope)
	}
	slices.SortFunc(c.scopes, func(a, b *scope) int {
		return cmp.Compare(a.target.Scope.String(), b.target.Scope.String())
	})
	c.dropScopes(old)
	for _, s := range c.scopes {
		if r, ok := c.early[s.target.Scope]; ok {
			delete(c.early, s.target.Scope)
			c.claimRead(now, r)
		}
	}
}

// retarget gives a scope its workers.
func (c *Core) retarget(now time.Time, s *scope, t Target) {
	same := slices.Equal(s.target.Workers, t.Workers) && slices.Equal(s.target.Witnesses, t.Witnesses)
	s.target = t
	if same || s.term == nil {
		return
	}
	if s.isGroup() && s.term.phase == owned {
		c.suspend(now, s)
	} else if s.isGroup() {
		c.restart(now, s)
	} else {
		c.regroup(now, s)
	}
}

func (c *Core) dropScopes(gone map[model.Scope]*scope) {
	var ss []*scope
	for _, s := range gone {
		ss = append(ss, s)
	}
	slices.SortFunc(ss, func(a, b *scope) int {
		return cmp.Compare(a.target.Scope.String(), b.target.Scope.String())
	})
	for _, s := range ss {
		c.lose(s)
		if s.known {
			c.early[s.target.Scope] = ClaimRead{Offset: s.offset, Claim: s.claim}
		}
	}
}
