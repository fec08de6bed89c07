package soak

import (
	"log/slog"
	"slices"
	"time"

	"coltsfootmux/internal/standin/fleet"
)

// gangJudge reports members of gangs that end alone although no fault was near.
type gangJudge struct {
	bed *testbed
	// owners holds the owners of the terms seen, which send the orders of their terms.
	owners map[int64]*machine
}

func newGangJudge(s *testbed) *gangJudge {
	return &gangJudge{bed: s, owners: make(map[int64]*machine)}
}

// seeOwner records who owns the cell, in soaks in which gangs are judged.
func (g *gangJudge) seeOwner() {
	if !g.bed.opts.calmLoad() {
		return
	}
	if m, term := g.bed.owner(); m != nil {
		g.owners[term] = m
	}
}

// unexcused returns the runs that no fault excuses, of those that ended alone since the last call.
//
// A run is excused if a fault was in force, began or ended since its gang started, or since the last renewal of a
// lease that has expired, or if a sender of the gang's orders has a fault that lasts, other than want of
// processor time. Planned work is not counted as a
// fault, so nothing counts beside it.
func (g *gangJudge) unexcused(now time.Time, f *fleet.Fleet) []fleet.Alone {
	return slices.DeleteFunc(f.TakeAlone(), func(a fleet.Alone) bool {
		since := now.Add(a.Since - f.Now())
		return !g.bed.opts.calmLoad() || a.Late || !g.bed.calm.isQuietSince(since) || g.isCut(a.Tokens)
	})
}

// isCut reports whether an owner of one of the terms is cut off or stopped by a fault that lasts. One that
// is not known counts as cut off beside any such fault.
func (g *gangJudge) isCut(terms []int64) bool {
	cut := g.bed.calm.cutMachine()
	return cut != nil && slices.ContainsFunc(terms, func(term int64) bool {
		m := g.owners[term]
		return m == nil || m == cut
	})
}

// checkGangs reports the runs that ended alone; l.mu must be held.
func (l *liveness) checkGangs(now time.Time, f *fleet.Fleet) {
	for _, a := range l.gangs.unexcused(now, f) {
		if l.aloneRuns++; l.aloneRuns <= maxReported {
			l.callers.violationf("%v: %v run %d on %s ended alone, %v after its gang was left in part, terms %v", a.EndedAt, a.Task, a.Run, a.Worker, a.EndedAt-a.Since, a.Tokens)
		}
		l.callers.bed.faults.Warn("ended alone", slog.Any("run", a))
	}
}
