package ownership

import "coltsfootmux/internal/model"

// Owner gives who this scheduler thinks owns a scope. It may be out of date.
func (c *Core) Owner(sc model.Scope) (model.Member, bool) {
	s := c.byScope[sc]
	if s == nil || !s.known {
		return model.Member{}, false
	}
	if s.term != nil {
		return c.set.Self, true
	}
	return s.claim.Line[s.active], true
}

// Owned gives the epoch under which this scheduler decides for a scope.
func (c *Core) Owned(sc model.Scope) (model.Epoch, bool) {
	s := c.byScope[sc]
	if s == nil || s.term == nil || s.term.phase != owned {
		return 0, false
	}
	return s.term.epoch, true
}

// Incarnation gives the worker's incarnation that the scope's fence holds for.
// Starts carry it, so that one delayed over a restart has no effect.
func (c *Core) Incarnation(sc model.Scope, w model.WorkerID) (string, bool) {
	s := c.byScope[sc]
	if s == nil || s.term == nil {
		return "", false
	}
	g := s.term.guard(w)
	if g == nil || !g.fenced {
		return "", false
	}
	return g.incarnation, true
}

// OwnedCount gives how many scopes this scheduler decides for.
func (c *Core) OwnedCount() int {
	n := 0
	for _, s := range c.scopes {
		if s.term != nil && s.term.phase == owned {
			n++
		}
	}
	return n
}
