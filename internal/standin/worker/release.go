package worker

import (
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// release ends a lease, or bars its id if the lease is not known.
func (s *state) release(r platform.Release, now time.Time) (platform.Released, error) {
	if !validID(string(r.Lease)) {
		return platform.Released{}, refuse("lease id must have 1 to 256 bytes")
	}
	if err := checkScope(r.Scope); err != nil {
		return platform.Released{}, err
	}
	if err := s.observeEpoch(r.Scope, r.Epoch); err != nil {
		return platform.Released{}, err
	}
	out := platform.Released{Incarnation: s.incarnation, Since: s.barCoverage(now)}
	l, ok := s.leases[r.Lease]
	if !ok {
		return s.releaseUnknown(out, r.Lease, now)
	}
	if !l.inScope(r.Scope) {
		return platform.Released{}, refuse("lease belongs to another scope")
	}
	out.Started = l.task != nil
	if out.Started && r.OnlyUnstarted {
		out.Running = true
		return out, nil
	}
	s.endLease(l, platform.EndStopped, now)
	out.Ending = s.ending(r.Lease)
	return out, nil
}

// releaseUnknown answers for a lease that does not exist or has ended, and bars its id.
func (s *state) releaseUnknown(out platform.Released, id model.LeaseID, now time.Time) (platform.Released, error) {
	b, known := s.barred.get(id)
	if !known && s.barred.full() {
		return platform.Released{}, eris.Wrap(platform.ErrUnavailable, "too many barred leases")
	}
	s.barred.add(id, false, now)
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

// barCoverage returns how far back the barred ids are complete.
func (s *state) barCoverage(now time.Time) time.Duration {
	return min(now.Sub(s.startedAt), s.opts.BarRetention)
}
