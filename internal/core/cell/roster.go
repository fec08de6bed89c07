package cell

import (
	"time"

	"coltsfootmux/internal/external"
)

// The roster is the durable list of the workers in use. A worker is used only
// once it is on it, so that a later owner asks every worker that can run
// something, also one whose entry is missing from the list at that time.

// inherit makes the workers known that the owner before may have used. Those
// on the list may leave it before they answer, and are waited for all the same.
func (c *Core) inherit(roster []RosterEntry) {
	for _, r := range roster {
		w := c.workers[r.ID]
		if w == nil {
			w = c.addWorker(external.Worker{ID: r.ID, Addr: r.Addr, Draining: r.Draining})
			w.unlist(c.now.Mono)
		}
		w.inherited = true
	}
}

// mayBeShared says whether the owner before may have read a job too, that was
// accepted after its term had ended. It may if it held the term by its peers' word,
// until it hears of this one.
func (c *Core) mayBeShared(e *jobEntry) bool { return e.readAt-c.started < newTermNoticeTime }

// asksFirst says whether a worker of the owner before has neither answered nor
// failed to. Until then that one may start jobs there; a worker that has answered
// this owner refuses it.
func (c *Core) asksFirst() bool {
	for _, w := range c.fleet {
		if w.inherited && !w.fenced && w.holdFails == 0 {
			return true
		}
	}
	return false
}

// stopPartial stops the gangs of which the owner before started a part only. Once
// every worker has been heard of, the other members can't come any more.
func (c *Core) stopPartial() {
	for _, e := range c.open {
		for _, u := range e.units() {
			if u.state == unitActive && len(u.runs) < u.size {
				c.stopRestOfGang(u)
			}
		}
	}
}

// rosterNow gives the workers that are in use or may be used.
func (c *Core) rosterNow() []RosterEntry {
	out := []RosterEntry{}
	for _, w := range c.fleet {
		out = append(out, RosterEntry{ID: w.ID, Addr: w.Addr, Draining: w.Draining})
	}
	return out
}

// rosterCommitted allows the use of the workers that were on a durable roster.
func (c *Core) rosterCommitted() {
	for _, w := range c.batchRoster {
		w.rostered = true
	}
	c.batchRoster = nil
	c.changed = true
}

// awaited says whether a worker may run something unseen of the term before.
func (w *worker) awaited(now time.Duration) bool {
	return !w.fenced && (w.listed || w.inherited) && !w.hasLeft(now)
}
