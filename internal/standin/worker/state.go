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

// state is what a worker knows until it restarts. Every method takes the time
// and first lets pass what was due before it.
type state struct {
	opts        Options
	incarnation string
	since       time.Time
	free        model.Shape
	leases      map[model.LeaseID]*lease
	epochs      map[model.Scope]model.Epoch
	holds       *holds
	history     *history
	bars        *bars
	journal     *journal
	fault       Fault
}

func newState(opts Options, restarts int, j *journal, f Fault, now time.Time) *state {
	return &state{
		opts:        opts,
		incarnation: incarnationOf(opts.ID, restarts, now),
		since:       now,
		free:        opts.Capacity,
		leases:      make(map[model.LeaseID]*lease),
		epochs:      make(map[model.Scope]model.Epoch),
		holds:       newHolds(now, restarts),
		history:     newHistory(opts.HistoryRetention, now),
		bars:        newBars(opts.BarRetention),
		journal:     j,
		fault:       f,
	}
}

// incarnationOf names one life of a worker.
func incarnationOf(id model.WorkerID, restarts int, now time.Time) string {
	return string(id) + "#" + strconv.Itoa(restarts) + "@" + strconv.FormatInt(now.UnixNano(), 36)
}

// advance ends what was due by now, in the order in which it was due.
func (s *state) advance(now time.Time) (ended bool) {
	for {
		l, at, how := s.nextDue()
		if l == nil || at.After(now) {
			break
		}
		s.end(l, how, at)
		ended = true
	}
	s.history.advance(now)
	s.bars.advance(now)
	return ended
}

// nextDue gives the lease that will end first, nil for none.
func (s *state) nextDue() (first *lease, at time.Time, how platform.EndState) {
	for _, l := range s.leases {
		t, h := l.next()
		if first == nil || t.Before(at) || t.Equal(at) && l.id < first.id {
			first, at, how = l, t, h
		}
	}
	return first, at, how
}

// end frees a lease's room, and keeps its task's ending if it was started.
func (s *state) end(l *lease, how platform.EndState, at time.Time) {
	delete(s.leases, l.id)
	s.free = s.free.Add(l.shape)
	s.bars.add(l.id, l.task != nil, at)
	if l.task == nil {
		return
	}
	s.journal.finished(l.task.run, how, at)
	s.history.add(&ended{at: at, cell: l.cell, ending: endingOf(l, how, at)})
}

// see takes in an epoch for a scope, or refuses it as stale.
func (s *state) see(scope model.Scope, epoch model.Epoch) error {
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

// lost ends all running tasks, as the worker restarts.
func (s *state) lost(now time.Time) {
	for _, l := range s.leases {
		if l.task != nil {
			s.journal.finished(l.task.run, EndLost, now)
		}
	}
}

// sorted gives the leases for which keep holds, in the order of their ids.
func (s *state) sorted(keep func(*lease) bool) []*lease {
	var out []*lease
	for _, l := range s.leases {
		if keep(l) {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b *lease) int { return cmp.Compare(a.id, b.id) })
	return out
}
