package ownership

import (
	"slices"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"

	"github.com/rotisserie/eris"
)

// begin starts a term under a new epoch: every worker is fenced. An owner that
// only raises its own epoch keeps what it knows. A cell goes on at once, as its
// workers take the higher epoch with any message; a key group needs new holds.
func (c *Core) begin(now time.Time, s *scope, e model.Epoch) {
	old := s.term
	s.term = newTerm(now, s.target, e, old)
	if old != nil && old.phase == owned {
		c.raise(s)
	}
	c.fenceAll(now, s)
}

// newTerm makes a term. One that follows an owned term of this process keeps
// what that one learned of each worker, in case nobody came in between.
func newTerm(now time.Time, target Target, e model.Epoch, old *term) *term {
	t := &term{epoch: e, began: now, started: now, guards: newGuards(target)}
	if old == nil {
		return t
	}
	t.gained = old.gained
	if old.phase == owned {
		t.follows, t.own = old.epoch, true
		keepListings(t, old)
	}
	return t
}

func (c *Core) fenceAll(now time.Time, s *scope) {
	for _, g := range s.term.guards {
		c.fence(now, s, g)
	}
}

// restart begins the term's epoch anew.
func (c *Core) restart(now time.Time, s *scope) {
	old := s.term
	s.term = newTerm(now, s.target, old.epoch, old)
	s.term.used = old.used || old.phase == owned
	c.fenceAll(now, s)
}

// regroup keeps the guards of a cell's workers that are still there.
func (c *Core) regroup(now time.Time, s *scope) {
	old := s.term.guards
	s.term.guards = newGuards(s.target)
	for i, g := range s.term.guards {
		j := slices.IndexFunc(old, func(o *guard) bool { return o.worker == g.worker })
		if j >= 0 {
			s.term.guards[i] = old[j]
			continue
		}
		c.fence(now, s, g)
	}
}

func (c *Core) raise(s *scope) {
	if s.isGroup() {
		c.do(Suspend{Scope: s.target.Scope})
		return
	}
	s.term.phase = owned
	c.do(Raise{Scope: s.target.Scope, Epoch: s.term.epoch})
}

func newGuards(t Target) []*guard {
	wits := make(map[model.WorkerID]bool, len(t.Witnesses))
	for _, id := range t.Witnesses {
		wits[id] = true
	}
	gs := make([]*guard, 0, len(t.Workers))
	for _, w := range t.Workers {
		gs = append(gs, &guard{worker: w, witness: wits[w.ID]})
	}
	return gs
}

// keepListings takes over what an unbroken earlier term of the same host knows.
func keepListings(t, old *term) {
	for _, g := range t.guards {
		if o := old.guard(g.worker.ID); o != nil {
			g.knew, g.told, g.listing, g.past = o.listed || o.knew, o.told, o.listing, o.past
			g.incarnation, g.history, g.ended = o.incarnation, o.history, o.ended
			g.wanted = o.wanted
		}
	}
}

func (c *Core) fence(now time.Time, s *scope, g *guard) {
	g.askedAt = now
	c.do(Fence{Scope: s.target.Scope, Epoch: s.term.epoch, Worker: g.worker})
}

func (c *Core) list(now time.Time, s *scope, g *guard) {
	g.askedAt = now
	c.do(List{Scope: s.target.Scope, Epoch: s.term.epoch, Worker: g.worker})
}

// find gives the scope and guard that an answer under an epoch is for.
func (c *Core) find(sc model.Scope, e model.Epoch, w model.WorkerID) (*scope, *guard) {
	s := c.byScope[sc]
	if s == nil || s.term == nil || s.term.epoch != e {
		return nil, nil
	}
	return s, s.term.guard(w)
}

func (c *Core) fenceAnswered(now time.Time, e FenceAnswered) {
	s, g := c.find(e.Scope, e.Epoch, e.Worker)
	if g == nil {
		return
	}
	if eris.Is(e.Err, platform.ErrStaleEpoch) || (e.Err == nil && e.Fenced.Previous > e.Epoch) {
		c.yield(now, s)
		return
	}
	if e.Err != nil || (g.fenced && g.incarnation == e.Fenced.Incarnation) {
		return
	}
	c.fenced(now, s, g, e.Fenced)
	c.advance(now, s)
}

// fenced notes a worker that obeys the term's epoch now. What an earlier term of
// ours listed stands only if nobody came in between.
func (c *Core) fenced(now time.Time, s *scope, g *guard, f platform.Fenced) {
	same := c.unbroken(now, s.term, g, f)
	g.fenced, g.fencedAt, g.same = true, now, same
	g.incarnation, g.history = f.Incarnation, c.historySince(now, f.Since)
	g.listed, g.knew = same && s.term.own && g.knew, false
	if !g.listed {
		g.told = false
	}
	c.contact(now, s, g)
}

// contact goes on with a fenced worker. Those of a key group are listed and held
// only after the wait: before, a worker that restarts forgets the fence, and the
// old owner could start keyed work there behind the listing.
func (c *Core) contact(now time.Time, s *scope, g *guard) {
	if s.isGroup() && s.term.phase < scanning {
		return
	}
	if !g.listed {
		c.list(now, s, g)
	}
	if s.isGroup() && c.holds(now, g) {
		c.hold(now, s, g)
	}
}

// unbroken says that the worker saw the epoch that the term follows, no later
// one, and has not restarted since.
func (c *Core) unbroken(now time.Time, t *term, g *guard, f platform.Fenced) bool {
	if t.follows == 0 || f.Previous != t.follows {
		return false
	}
	if t.own {
		return g.incarnation == f.Incarnation
	}
	return now.Sub(c.historySince(now, f.Since)) >= c.set.holdWait()
}

// historySince turns a worker's age into our time, the late end of what the
// clocks' rates allow.
func (c *Core) historySince(now time.Time, since time.Duration) time.Time {
	return now.Add(-time.Duration(float64(since) * (1 - c.set.ClockRateBound)))
}

func (c *Core) listAnswered(now time.Time, e ListAnswered) {
	s, g := c.find(e.Scope, e.Epoch, e.Worker)
	if g == nil || !g.fenced || g.listed || e.Err != nil {
		return
	}
	if e.Listing.Incarnation != g.incarnation {
		c.unfence(now, s, g)
		return
	}
	g.listed = true
	g.listing = Scanned{Worker: g.worker, Listing: e.Listing}
	g.ended = c.historySince(now, e.Listing.EndedSince)
	if s.term.phase == owned {
		c.joined(now, s, g)
		return
	}
	c.advance(now, s)
}

// unfence starts again with a worker that restarted and forgot.
func (c *Core) unfence(now time.Time, s *scope, g *guard) {
	*g = guard{worker: g.worker, witness: g.witness, past: g.past}
	c.fence(now, s, g)
}

func (c *Core) joined(now time.Time, s *scope, g *guard) {
	g.told = true
	if from := later(g.history, g.ended); from.Before(g.past) {
		g.past = from
	}
	c.do(Joined{
		Scope: s.target.Scope,
		Epoch: s.term.epoch,
		Found: g.listing,
		Gap:   s.gap(),
	})
	g.listing = Scanned{}
}

// advance moves a term on as far as its answers and the time allow.
func (c *Core) advance(now time.Time, s *scope) {
	if s.term == nil {
		return
	}
	if s.isGroup() {
		c.advanceGroup(now, s)
	} else if s.term.phase != owned && s.scanned(now, c.set.AnswerWithin) && s.anyListed() {
		c.gain(now, s)
	}
	if s.term != nil {
		c.retry(now, s)
	}
}

// retry asks the workers again that did not answer.
func (c *Core) retry(now time.Time, s *scope) {
	for _, g := range s.term.guards {
		if now.Sub(g.askedAt) < c.set.RetryEvery {
			continue
		}
		if !g.fenced {
			c.fence(now, s, g)
		} else if !g.listed && (!s.isGroup() || s.term.phase >= scanning) {
			c.list(now, s, g)
		}
	}
}
