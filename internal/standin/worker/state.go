package worker

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// state is what a worker knows until it restarts. The caller passes the time to
// every method, and calls advance first.
type state struct {
	opts        Options
	incarnation string
	startedAt   time.Time
	free        model.Shape
	leases      map[model.LeaseID]*lease
	epochs      map[model.Scope]model.Epoch
	holds       *holds
	history     *history
	barred      *barredLeases
	journal     *journal
	fault       Fault
}

func newState(opts Options, restarts int, j *journal, f Fault, now time.Time) *state {
	return &state{
		opts:        opts,
		incarnation: newIncarnation(opts.ID, restarts, now),
		startedAt:   now,
		free:        opts.Capacity,
		leases:      make(map[model.LeaseID]*lease),
		epochs:      make(map[model.Scope]model.Epoch),
		holds:       newHolds(now, restarts),
		history:     newHistory(opts.HistoryRetention, now),
		barred:      newBarredLeases(opts.BarRetention),
		journal:     j,
		fault:       f,
	}
}

// newIncarnation returns the name of an incarnation of a worker.
func newIncarnation(id model.WorkerID, restarts int, now time.Time) string {
	return string(id) + "#" + strconv.Itoa(restarts) + "@" + strconv.FormatInt(now.UnixNano(), 36)
}

// advance ends the leases that are due by now, in the order of their ends.
func (s *state) advance(now time.Time) (ended bool) {
	for {
		l, at, state := s.nextDue()
		if l == nil || at.After(now) {
			break
		}
		s.endLease(l, state, at)
		ended = true
	}
	s.history.advance(now)
	s.barred.advance(now)
	return ended
}

// nextDue returns the lease that will end first, or nil if there is none.
func (s *state) nextDue() (first *lease, at time.Time, state platform.EndState) {
	for _, l := range s.leases {
		t, h := l.nextEnd()
		if first == nil || t.Before(at) || t.Equal(at) && l.id < first.id {
			first, at, state = l, t, h
		}
	}
	return first, at, state
}

// endLease frees a lease's capacity, and records the ending of its task if it was started.
func (s *state) endLease(l *lease, state platform.EndState, at time.Time) {
	delete(s.leases, l.id)
	s.free = s.free.Add(l.shape)
	s.barred.add(l.id, l.task != nil, at)
	if l.task == nil {
		return
	}
	s.journal.recordEnd(l.task.runNum, state, at)
	s.history.add(&numberedEnding{at: at, cell: l.cell, ending: newEnding(l, state, at)})
}

// observeEpoch records an epoch for a scope, or refuses it as stale.
func (s *state) observeEpoch(scope model.Scope, epoch model.Epoch) error {
	highest, known := s.epochs[scope]
	if epoch < highest {
		return eris.Wrapf(platform.ErrStaleEpoch, "%s: epoch %d is below %d", scope, epoch, highest)
	}
	if !known && len(s.epochs) >= maxScopes {
		return eris.Wrap(platform.ErrUnavailable, "too many scopes")
	}
	s.epochs[scope] = epoch
	return nil
}

// recordLostRuns records the end of all running tasks when the worker restarts.
func (s *state) recordLostRuns(now time.Time) {
	for _, l := range s.leases {
		if l.task != nil {
			s.journal.recordEnd(l.task.runNum, EndLost, now)
		}
	}
}

// sortedLeases returns the leases for which keep returns true, in the order of their ids.
func (s *state) sortedLeases(keep func(*lease) bool) []*lease {
	var out []*lease
	for _, l := range s.leases {
		if keep(l) {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b *lease) int { return cmp.Compare(a.id, b.id) })
	return out
}
