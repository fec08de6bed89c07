package worker

import (
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// release ends a lease, or bars an id that is not known.
func (s *state) release(r platform.Release, now time.Time) (platform.Released, error) {
	if !validID(string(r.Lease)) {
		return platform.Released{}, refuse("lease needs an id of 1 to 256 bytes")
	}
	if err := checkScope(r.Scope); err != nil {
		return platform.Released{}, err
	}
	if err := s.see(r.Scope, r.Epoch); err != nil {
		return platform.Released{}, err
	}
	out := platform.Released{Incarnation: s.incarnation, Since: s.reach(now)}
	l, ok := s.leases[r.Lease]
	if !ok {
		return s.releaseGone(out, r.Lease, now)
	}
	if !l.inScope(r.Scope) {
		return platform.Released{}, refuse("lease belongs to another scope")
	}
	out.Started = l.task != nil
	if out.Started && r.OnlyUnstarted {
		out.Running = true
		return out, nil
	}
	s.end(l, platform.EndStopped, now)
	out.Ending = s.ending(r.Lease)
	return out, nil
}

// releaseGone answers for a lease that is not in force, and bars its id.
func (s *state) releaseGone(out platform.Released, id model.LeaseID, now time.Time) (platform.Released, error) {
	b, known := s.bars.get(id)
	if !known && s.bars.full() {
		return platform.Released{}, eris.Wrap(platform.ErrUnavailable, "too many barred leases")
	}
	s.bars.add(id, false, now)
	out.Started = b.started
	out.Ending = s.ending(id)
	return out, nil
}

func (s *state) ending(id model.LeaseID) *platform.Ending {
	e, ok := s.history.byID[id]
	if !ok {
		return nil
	}
	ending := e.ending
	return &ending
}

// reach gives how far back the memory of lease ids reaches.
func (s *state) reach(now time.Time) time.Duration {
	return min(now.Sub(s.since), s.opts.BarRetention)
}
