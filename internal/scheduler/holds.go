package scheduler

import (
	"time"

	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/model"
)

// awaited is something that may go on once holds are in place at some workers.
type awaited struct {
	group   model.GroupID
	workers []model.WorkerID
	until   time.Time
	// then is told whether all holds came in time.
	then func(held bool)
}

// withHolds calls then once the key group's holds at the workers are in place, or
// when they have not come within half of the bound on calls, so that whoever
// waits for the answer still gets it.
func (l *loop) withHolds(g model.GroupID, workers []model.WorkerID, then func(held bool)) {
	for _, w := range workers {
		l.stepOwn(ownership.HoldWanted{Group: g, Worker: w})
	}
	a := &awaited{group: g, workers: workers, until: now().Add(l.s.o.Timing.CallTimeout / 2), then: then}
	if l.allHeld(a) {
		then(true)
		return
	}
	l.awaiting = append(l.awaiting, a)
}

// allHeld reports whether every worker would take a keyed start now.
func (l *loop) allHeld(a *awaited) bool {
	for _, w := range a.workers {
		if _, ok := l.own.MayStartAt(now(), a.group, w); !ok {
			return false
		}
	}
	return true
}

// holdsChanged lets go on what has its holds, and ends what waited too long.
func (l *loop) holdsChanged() {
	if len(l.awaiting) == 0 {
		return
	}
	waiting := l.awaiting
	l.awaiting = nil
	for _, a := range waiting {
		switch held := l.allHeld(a); {
		case held, !now().Before(a.until):
			a.then(held)
		default:
			l.awaiting = append(l.awaiting, a)
		}
	}
}
