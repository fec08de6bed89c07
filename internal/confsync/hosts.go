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

// watchHosts keeps the list of other hosts.
func (s *Store) watchHosts(ctx context.Context) error {
	for {
		pause(ctx, s.o.AskEvery)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s.list(ctx)
	}
}

// list takes the live own hosts from the host list.
func (s *Store) list(ctx context.Context) {
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
	maps.DeleteFunc(s.quiet, func(id model.HostID, _ time.Time) bool { return !slices.Contains(ids, id) })
	s.stepLocked(ctx, settings.Listed{Hosts: ids})
}

// ownHosts gives the live own hosts but one, in the order of their ids.
func ownHosts(hosts []model.Host, but model.HostID) []model.Host {
	out := slices.DeleteFunc(slices.Clone(hosts), func(h model.Host) bool {
		return h.Role == model.RoleWorker || h.State != model.HostLive || h.ID == but
	})
	slices.SortFunc(out, func(a, b model.Host) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (s *Store) ownRank() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rank
}

// answering gives the other hosts without those that lately did not answer; all
// of them when none did.
func (s *Store) answering() []model.Host {
	now := s.o.Clock()
	out := make([]model.Host, 0, len(s.peers))
	for _, p := range s.peers {
		if at, ok := s.quiet[p.ID]; !ok || now.Sub(at) >= quietTime {
			out = append(out, p)
		}
	}
	if len(out) == 0 {
		return s.peers
	}
	return out
}

// noteAnswer remembers whether a host answered.
func (s *Store) noteAnswer(id model.HostID, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		delete(s.quiet, id)
		return
	}
	s.quiet[id] = s.o.Clock()
}
