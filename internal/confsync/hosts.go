package confsync

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/model"
)

// refreshPeersPeriodically keeps the list of other hosts up to date.
func (s *Store) refreshPeersPeriodically(ctx context.Context) error {
	for {
		pause(ctx, s.o.AskInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s.refreshPeers(ctx)
	}
}

// refreshPeers reads the other live own hosts from the host list.
func (s *Store) refreshPeers(ctx context.Context) {
	if s.o.Hosts == nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, s.o.CallTimeout)
	defer cancel()
	hosts, err := s.o.Hosts.Hosts(call)
	if err != nil {
		return
	}
	peers := ownHosts(hosts, s.o.Self.ID)
	ids := make([]model.HostID, len(peers))
	rank := 0
	for i, p := range peers {
		ids[i] = p.ID
		if p.ID < s.o.Self.ID {
			rank++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers, s.rank = peers, rank
	maps.DeleteFunc(s.failedAt, func(id model.HostID, _ time.Time) bool { return !slices.Contains(ids, id) })
	s.stepLocked(ctx, settings.Listed{Hosts: ids})
}

// ownHosts returns the live own hosts except one, in the order of their ids.
func ownHosts(hosts []model.Host, except model.HostID) []model.Host {
	out := slices.DeleteFunc(slices.Clone(hosts), func(h model.Host) bool {
		return h.Role == model.RoleWorker || h.State != model.HostLive || h.ID == except
	})
	slices.SortFunc(out, func(a, b model.Host) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (s *Store) ownRank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rank
}

// responsivePeers returns the other hosts without those that failed to answer
// within the last unresponsiveTime, or all hosts if that leaves none.
func (s *Store) responsivePeers() []model.Host {
	now := s.o.Clock()
	out := make([]model.Host, 0, len(s.peers))
	for _, p := range s.peers {
		if at, ok := s.failedAt[p.ID]; !ok || now.Sub(at) >= unresponsiveTime {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		return s.peers
	}
	return out
}

// recordAnswer records whether a host answered a call.
func (s *Store) recordAnswer(id model.HostID, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		delete(s.failedAt, id)
		return
	}
	s.failedAt[id] = s.o.Clock()
}
