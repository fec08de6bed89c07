package worker

import (
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// renew extends a cell's leases and reports on them.
func (s *state) renew(r platform.Renew, now time.Time) (platform.Report, error) {
	if err := checkTTL(r.TTL); err != nil {
		return platform.Report{}, err
	}
	if !validID(string(r.Cell)) {
		return platform.Report{}, refuse("cell id must have 1 to 256 bytes")
	}
	if err := s.observeEpoch(model.CellScope(r.Cell), r.Epoch); err != nil {
		return platform.Report{}, err
	}
	out := platform.Report{
		Incarnation: s.incarnation,
		Leases:      []model.LeaseID{},
		Ended:       s.history.endingsAfter(r.Cell, r.Ack),
		Last:        s.history.lastNum,
		Usage:       []platform.Usage{},
		Lag:         s.opts.UsageLag,
		Leaving:     s.fault.Leaving,
	}
	for _, l := range s.sortedLeases(func(l *lease) bool { return l.cell == r.Cell }) {
		l.expires = later(l.expires, now.Add(r.TTL))
		out.Leases = append(out.Leases, l.id)
		if l.task != nil && now.Sub(l.task.startedAt) >= s.opts.UsageLag {
			out.Usage = append(out.Usage, platform.Usage{Lease: l.id, Used: l.used()})
		}
	}
	return out, nil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (l *lease) used() model.Shape {
	if l.task.throttled {
		return l.shape
	}
	return l.task.plan.Used
}

// list returns the leases and recent endings of a scope.
func (s *state) list(scope model.Scope, now time.Time) (platform.Listing, error) {
	if err := checkScope(scope); err != nil {
		return platform.Listing{}, err
	}
	out := platform.Listing{
		Incarnation: s.incarnation,
		Since:       now.Sub(s.startedAt),
		Leases:      []platform.Leased{},
		Ended:       s.history.inScope(scope),
		EndedSince:  s.history.coverage(now),
	}
	for _, l := range s.sortedLeases(func(l *lease) bool { return l.inScope(scope) }) {
		out.Leases = append(out.Leases, platform.Leased{
			Lease:   l.id,
			Cell:    l.cell,
			Shape:   l.shape,
			Label:   l.label,
			Started: l.task != nil,
			Age:     now.Sub(l.granted),
		})
	}
	return out, nil
}

// fence raises a scope's epoch.
func (s *state) fence(f platform.Fence, now time.Time) (platform.Fenced, error) {
	if err := checkScope(f.Scope); err != nil {
		return platform.Fenced{}, err
	}
	previous := s.epochs[f.Scope]
	if err := s.observeEpoch(f.Scope, f.Epoch); err != nil {
		return platform.Fenced{}, err
	}
	return platform.Fenced{Incarnation: s.incarnation, Since: now.Sub(s.startedAt), Previous: previous}, nil
}

// hold grants or renews a hold on a key group.
func (s *state) hold(h platform.Hold, now time.Time) platform.Held {
	scope := model.GroupScope(h.Group)
	out := platform.Held{Incarnation: s.incarnation, Refused: true}
	forThisIncarnation := h.Incarnation == "" || h.Incarnation == s.incarnation
	if forThisIncarnation && checkTTL(h.TTL) == nil && s.observeEpoch(scope, h.Epoch) == nil {
		echo, ok := s.holds.acquire(h, now)
		out.Echo, out.Refused = echo, !ok
	}
	out.Highest = s.epochs[scope]
	return out
}
