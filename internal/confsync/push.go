package confsync

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/mapping"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// pushVersions pushes new versions to a few hosts each.
func (s *Store) pushVersions(ctx context.Context) error {
	var last config.Version
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.pushNow:
		}
		s.mu.Lock()
		cur := s.core.Current()
		if last == 0 {
			last = cur.Version - 1
		}
		u := s.core.Since(last)
		s.mu.Unlock()
		if u == nil {
			continue
		}
		if u.Snapshot != nil {
			// Most hosts have the version already: send only its number first.
			u = nil
		}
		push := wire.ConfigPush{Version: uint64(cur.Version), Record: s.encode(ctx, u)}
		var wg sync.WaitGroup
		for _, p := range s.pushTargets(cur.Version) {
			wg.Go(func() { s.pushTo(ctx, p, push) })
		}
		wg.Wait()
		last = cur.Version
	}
}

// pushTo pushes to one host. If the host's version is too old for the records in
// the push, it pushes again with all that the host lacks.
func (s *Store) pushTo(ctx context.Context, p model.Host, push wire.ConfigPush) {
	mCalls.With("push").Inc()
	have, ok := s.exchange(ctx, p, push)
	if !ok || have.Version >= push.Version {
		return
	}
	s.mu.Lock()
	u := s.core.Since(config.Version(have.Version))
	s.mu.Unlock()
	mCalls.With("push").Inc()
	s.exchange(ctx, p, wire.ConfigPush{Version: push.Version, Record: s.encode(ctx, u)})
}

// pushTargets returns the hosts to push a version to. They differ by version and
// by pushing host, so that pushes reach all hosts.
func (s *Store) pushTargets(v config.Version) []model.Host {
	s.mu.Lock()
	peers := slices.Clone(s.responsivePeers())
	s.mu.Unlock()
	scope := model.Scope{Kind: model.ScopeKind(s.o.Self.ID), Name: strconv.FormatUint(uint64(v), 10)}
	slices.SortFunc(peers, func(a, b model.Host) int {
		return cmp.Compare(mapping.Weight(scope, string(a.ID)), mapping.Weight(scope, string(b.ID)))
	})
	return peers[:min(s.o.FanOut, len(peers))]
}
