package confsync

import (
	"context"

	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// maxConcurrentAsks bounds how many hosts are asked at the same time.
const maxConcurrentAsks = 8

// HostVersion is the version that a host has in force.
type HostVersion struct {
	Host    model.HostID
	Version config.Version
	// Answered is false for a host that could not be asked.
	Answered bool
}

// Versions returns the version that each live own host has in force: this host
// first, then the others in the order of their ids.
func (s *Store) Versions(ctx context.Context) []HostVersion {
	s.mu.Lock()
	peers := s.peers
	s.mu.Unlock()
	out := make([]HostVersion, len(peers)+1)
	out[0] = HostVersion{Host: s.o.Self.ID, Answered: true}
	if v := s.Current(); v != nil {
		out[0].Version = v.Version
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrentAsks)
	for i, p := range peers {
		g.Go(func() error {
			have, ok := s.exchange(ctx, p, wire.ConfigPush{Version: s.baseVersion()})
			out[i+1] = HostVersion{Host: p.ID, Version: config.Version(have.Version), Answered: ok}
			return nil
		})
	}
	_ = g.Wait() // the functions return no error
	return out
}
