package scheduler

import (
	"context"
	"log/slog"

	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/model"
)

// gain takes over a scope that the ownership core has won.
func (l *loop) gain(a ownership.Gain) {
	evGained.Log(l.ctx, l.s.o.Logger,
		slog.String("scope", a.Target.Scope.String()), slog.Uint64("epoch", uint64(a.Epoch)))
	mGains.With(string(a.Target.Scope.Kind)).Inc()
	if a.Target.Scope.Kind == model.ScopeGroup {
		l.gainGroup(a)
		return
	}
	l.gainCell(a)
}

func (l *loop) gainCell(a ownership.Gain) {
	id := model.CellID(a.Target.Scope.Name)
	cell, ok := l.cellByID(id)
	if !ok {
		return
	}
	if old, ok := l.cells[id]; ok {
		old.stop()
	}
	c := &ownedCell{cell: cell, epoch: a.Epoch}
	l.cells[id] = c
	l.stepPlace(placement.CellGained{Cell: cell, Epoch: a.Epoch, Running: running(a.Found)})
	l.unusable(cell)
	l.renewCell(c)
}

func (l *loop) cellByID(id model.CellID) (model.Cell, bool) {
	for _, c := range l.conf.Document.Fleet.Cells {
		if c.ID == id {
			return c, true
		}
	}
	return model.Cell{}, false
}

func running(found []ownership.Scanned) []placement.Running {
	var out []placement.Running
	for _, f := range found {
		for _, leased := range f.Listing.Leases {
			out = append(out, placement.Running{Worker: f.Worker.ID, Leased: leased})
		}
	}
	return out
}

// gainGroup keeps what the workers told and has the log's part read. A group that
// was ours all the while needs no reading.
func (l *loop) gainGroup(a ownership.Gain) {
	g := groupOf(a.Target.Scope)
	old, had := l.groups[g]
	og := &ownedGroup{epoch: a.Epoch, found: l.traces(a.Found), gap: a.Gap, unbroken: a.Unbroken}
	l.groups[g] = og
	switch {
	case a.Unbroken && had && old.ready:
		l.groupReady(g, og, history{})
		return
	case a.Unbroken && had:
		// The ledger has not heard yet what was found before.
		og.found = append(old.found, og.found...)
		og.unbroken = old.unbroken
	}
	go l.s.readHistory(l.ctx, g, a.Epoch)
}

// history completes a gained group with what the log knows.
func (l *loop) history(m historyMsg) {
	og, ok := l.groups[m.group]
	if !ok || og.epoch != m.epoch || og.suspended {
		return
	}
	l.groupReady(m.group, og, m.hist)
}

// groupReady lets the ledger answer for a group's keys, and goes on with the jobs
// that were accepted and have no outcome.
func (l *loop) groupReady(g model.GroupID, og *ownedGroup, h history) {
	og.ready = true
	l.stepLedger(ledger.GroupGained{
		Group: g, Epoch: og.epoch, Outcomes: h.outcomes, Found: og.found, Gap: og.gap, Unbroken: og.unbroken,
	})
	for _, j := range h.open {
		l.resume(j)
	}
}

// joined takes in a worker that could be fenced only after its scope was gained.
func (l *loop) joined(a ownership.Joined) {
	evWorkerJoined.Log(l.ctx, l.s.o.Logger,
		slog.String("scope", a.Scope.String()), slog.String("worker", string(a.Found.Worker.ID)))
	found := []ownership.Scanned{a.Found}
	if a.Scope.Kind == model.ScopeGroup {
		l.stepLedger(ledger.WorkerJoined{Group: groupOf(a.Scope), Found: l.traces(found), Gap: a.Gap})
		return
	}
	l.stepPlace(placement.WorkerFound{Worker: a.Found.Worker.ID, Running: running(found)})
}

// raise goes on with an owned cell under a higher epoch.
func (l *loop) raise(a ownership.Raise) {
	id := model.CellID(a.Scope.Name)
	c, ok := l.cells[id]
	if !ok {
		return
	}
	c.stop()
	c.epoch = a.Epoch
	l.stepPlace(placement.CellGained{Cell: c.cell, Epoch: a.Epoch})
	l.renewCell(c)
}

// renewCell starts the renewals of a cell's leases under its epoch.
func (l *loop) renewCell(c *ownedCell) {
	ctx, stop := context.WithCancel(l.ctx)
	c.stop = stop
	for _, w := range c.cell.Workers {
		go l.s.renewing(ctx, c.cell.ID, c.epoch, w)
	}
}

// traces turns listings into traces of keys.
func (l *loop) traces(found []ownership.Scanned) []ledger.Found {
	var out []ledger.Found
	for _, f := range found {
		cell := l.s.dial.cellOf(f.Worker.ID)
		for _, h := range f.Listing.Leases {
			out = append(out, ledger.Found{
				Worker: f.Worker.ID, Cell: cell, Lease: h.Lease, Label: h.Label, Started: h.Started,
			})
		}
		for i := range f.Listing.Ended {
			e := f.Listing.Ended[i]
			out = append(out, ledger.Found{
				Worker: f.Worker.ID, Cell: cell, Lease: e.Lease, Label: e.Label, Started: true, Ending: &e,
			})
		}
	}
	return out
}
