package placement

import (
	"fmt"
	"slices"

	"coltsfootmux/internal/model"
)

// entitle holds in a cell what the plan puts there.
func (c *Core) entitle(cl *cell) {
	c.disentitle(cl)
	for _, p := range c.conf.plan.InCell(cl.id) {
		u := &unit{acc: c.account(p.Account), shape: p.Shape, home: p.Worker}
		cl.units = append(cl.units, u)
		if !slices.Contains(u.acc.cells, cl) {
			u.acc.cells = append(u.acc.cells, cl)
		}
	}
	c.resettle(cl)
}

// disentitle gives up all that is held in a cell for guarantees.
func (c *Core) disentitle(cl *cell) {
	for _, u := range cl.units {
		c.vacate(u)
		u.acc.cells = slices.DeleteFunc(u.acc.cells, func(o *cell) bool { return o == cl })
	}
	cl.units = nil
}

// resettle moves units off workers that can't hold them, and back home.
func (c *Core) resettle(cl *cell) {
	for _, u := range cl.units {
		if u.at != nil && !u.at.holds() {
			c.vacate(u)
		}
	}
	for _, u := range cl.units {
		home, ok := c.workers[u.home]
		if ok && u.at != home && home.holds() && home.couldHold(u) {
			c.vacate(u)
			c.occupy(u, home)
		}
	}
	c.settle(cl)
}

// settle finds workers for the units that have none, and alarms for those that
// fit nowhere in the cell.
func (c *Core) settle(cl *cell) {
	for _, u := range cl.units {
		if u.at != nil {
			continue
		}
		if w := c.holder(cl, u); w != nil {
			c.occupy(u, w)
			u.alarmed = false
			continue
		}
		if u.alarmed {
			continue
		}
		u.alarmed = true
		c.emit(Alarm{
			Code: AlarmGuaranteeUnmet, Account: u.acc.name, Cell: cl.id, Worker: u.home,
			Text: fmt.Sprintf("no usable worker of the cell can hold %+v beside what can't be evicted", u.shape),
		})
	}
}

func (c *Core) holder(cl *cell, u *unit) *worker {
	if home, ok := c.workers[u.home]; ok && home.holds() && home.couldHold(u) {
		return home
	}
	for _, w := range cl.workers {
		if w.holds() && w.couldHold(u) {
			return w
		}
	}
	return nil
}

// couldHold reports whether a unit fits beside all that can't be evicted.
func (w *worker) couldHold(u *unit) bool {
	s, _ := w.find(u.acc)
	with := maxShape(s.ent.Add(u.shape), s.firm)
	return w.committed.Sub(s.bound()).Add(with).Fits(w.capacity)
}

func (c *Core) occupy(u *unit, w *worker) {
	u.at = w
	w.change(u.acc, func(s *stake) { s.ent = s.ent.Add(u.shape) })
	u.acc.entitled = u.acc.entitled.Add(u.shape)
	c.free(w.cell)
}

func (c *Core) vacate(u *unit) {
	if u.at == nil {
		return
	}
	u.at.change(u.acc, func(s *stake) { s.ent = s.ent.Sub(u.shape) })
	u.acc.entitled = u.acc.entitled.Sub(u.shape)
	u.at = nil
}

// lent is the entitled room of an account that others hold.
func (c *Core) lent(a *account) model.Shape {
	var sum model.Shape
	for _, cl := range a.cells {
		for _, w := range cl.workers {
			own := w.ownRoom(a)
			sum = sum.Add(floorShape(own.Sub(floorShape(w.free))))
		}
	}
	return sum
}
