package ownership

import (
	"time"

	"coltsfootmux/internal/model"
)

// advanceGroup takes a key group through its phases: a majority of witnesses
// fenced, old holds lapsed there, new holds and listings at hand.
func (c *Core) advanceGroup(now time.Time, s *scope) {
	t := s.term
	switch t.phase {
	case fencing:
		if t.used && s.broken() {
			c.retire(now, s)
			return
		}
		if s.majority(func(g *guard) bool { return g.fenced }) {
			t.phase = waiting
			c.advanceGroup(now, s)
		}
	case waiting:
		if t.used && s.broken() {
			c.retire(now, s)
			return
		}
		if s.waited(now, c.set.holdWait()) {
			t.phase, t.began = scanning, now
			t.unbroken = t.own && s.follows()
			c.rescan(now, s)
		}
	case scanning:
		c.renew(now, s)
		if t.unbroken && !s.follows() {
			t.unbroken, t.began = false, now
			c.rescan(now, s)
			return
		}
		if s.ready(now, c.set.holdWait()) && s.scanned(now, c.set.AnswerWithin) {
			c.gain(now, s)
		}
	case owned:
		if !s.heldBy(now) {
			c.suspend(now, s)
			return
		}
		c.renew(now, s)
	}
}

// safe says that no old owner can start keyed work by this witness's leave: it
// has refused old epochs for long enough, or nobody came between it and us.
func (g *guard) safe(now time.Time, wait time.Duration) bool {
	return g.fenced && (g.same || now.Sub(g.fencedAt) >= wait)
}

// follows says that nobody can have held the group since the epoch followed.
func (s *scope) follows() bool {
	return s.majority(func(g *guard) bool { return g.fenced && g.same })
}

func (s *scope) waited(now time.Time, wait time.Duration) bool {
	if s.term.used {
		return s.follows()
	}
	return s.majority(func(g *guard) bool { return g.safe(now, wait) })
}

// ready says that a majority of witnesses is safe, listed and held. A witness
// that restarted meanwhile has to be waited for again.
func (s *scope) ready(now time.Time, wait time.Duration) bool {
	return s.majority(func(g *guard) bool {
		return g.safe(now, wait) && g.listed && g.until.After(now)
	})
}

// broken says that a majority of witnesses can't vouch any more that nobody came
// in between.
func (s *scope) broken() bool {
	n := s.term.count(func(g *guard) bool { return g.fenced && !g.same })
	return len(s.target.Witnesses)-n <= len(s.target.Witnesses)/2
}

// retire gives an epoch up that was used and can't be gained again. A claim of
// its own may follow at once, and hands out a new one.
func (c *Core) retire(now time.Time, s *scope) {
	c.yield(now, s)
	s.heard = now.Add(-c.set.ReclaimAfter)
}

// heldBy says that a majority of the witnesses' holds is unexpired.
func (s *scope) heldBy(now time.Time) bool {
	return s.majority(func(g *guard) bool { return g.until.After(now) })
}

// suspend stops keyed starts and begins the same epoch anew.
func (c *Core) suspend(now time.Time, s *scope) {
	c.do(Suspend{Scope: s.target.Scope})
	c.restart(now, s)
}

// rescan lists and holds every fenced worker. Only an unbroken term goes by the
// listings of the term before.
func (c *Core) rescan(now time.Time, s *scope) {
	for _, g := range s.term.guards {
		if !s.term.unbroken {
			g.listed, g.knew, g.told = false, false, false
		}
		if g.fenced {
			c.contact(now, s, g)
		}
	}
}

// renew asks for holds whose last asking is a share of the time to live ago.
func (c *Core) renew(now time.Time, s *scope) {
	every := c.set.HoldTTL / renewalsPerTTL
	for _, g := range s.term.guards {
		if g.fenced && c.holds(now, g) && now.Sub(g.holdSent) >= every {
			c.hold(now, s, g)
		}
	}
}

// holds says that a hold is kept at a worker: always at witnesses, elsewhere
// while keyed work starts there.
func (c *Core) holds(now time.Time, g *guard) bool {
	return g.witness || now.Sub(g.wanted) < unwantedHolds*c.set.HoldTTL
}

// holdWanted keeps a hold at a worker from now on, and asks for it at once.
func (c *Core) holdWanted(now time.Time, e HoldWanted) {
	s := c.byScope[model.GroupScope(e.Group)]
	if s == nil || s.term == nil || s.term.phase != owned {
		return
	}
	g := s.term.guard(e.Worker)
	if g == nil || !g.fenced {
		return
	}
	g.wanted = now
	if !g.until.After(now) && now.Sub(g.holdSent) >= c.set.HoldTTL/renewalsPerTTL {
		c.hold(now, s, g)
	}
}

func (c *Core) hold(now time.Time, s *scope, g *guard) {
	g.holdSent = now
	c.do(Hold{
		Scope:       s.target.Scope,
		Epoch:       s.term.epoch,
		Worker:      g.worker,
		TTL:         c.set.HoldTTL,
		Echo:        g.echo,
		Incarnation: g.incarnation,
	})
}

// holdAnswered counts a hold from the time its request was sent.
func (c *Core) holdAnswered(now time.Time, e HoldAnswered) {
	s, g := c.find(e.Scope, e.Epoch, e.Worker)
	if g == nil || !g.fenced || e.Err != nil {
		return
	}
	if e.Held.Highest > e.Epoch {
		c.yield(now, s)
		return
	}
	if e.Held.Incarnation != g.incarnation {
		c.unfence(now, s, g)
		return
	}
	// A refusal names the number of the hold that we have there, if any: its
	// answer was lost, and a renewal may carry it.
	g.echo = e.Held.Echo
	if e.Held.Refused {
		return
	}
	g.until = later(g.until, e.Sent.Add(c.set.heldFor()))
	c.advance(now, s)
}

// MayStartAt reports whether a worker would take a keyed start of a group now, as
// far as this scheduler knows, and in which incarnation.
func (c *Core) MayStartAt(now time.Time, group model.GroupID, w model.WorkerID) (string, bool) {
	if _, ok := c.MayStart(now, group); !ok {
		return "", false
	}
	g := c.byScope[model.GroupScope(group)].term.guard(w)
	if g == nil || !g.fenced || !g.until.After(now) {
		return "", false
	}
	return g.incarnation, true
}

// MayStart reports whether keyed work of a group may be started now, and under
// which epoch. Callers ask right before each start.
func (c *Core) MayStart(now time.Time, group model.GroupID) (model.Epoch, bool) {
	s := c.byScope[model.GroupScope(group)]
	if s == nil || s.term == nil || s.term.phase != owned || !s.heldBy(now) {
		return 0, false
	}
	return s.term.epoch, true
}
