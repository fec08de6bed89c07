package confsync

import (
	"context"

	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// versionsAtOnce bounds how many hosts are asked at the same time.
const versionsAtOnce = 8

// HostVersion tells which version a host has in force.
type HostVersion struct {
	Host    model.HostID
	Version config.Version
	// Answered is false for a host that could not be asked.
	Answered bool
}

// Versions asks each live own host which version it has in force, this one
// included, in the order of their ids behind this one.
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
	g.SetLimit(versionsAtOnce)
	for i, p := range peers {
		g.Go(func() error {
			have, ok := s.exchange(ctx, p, wire.ConfigPush{Version: s.wanted()})
			out[i+1] = HostVersion{Host: p.ID, Version: config.Version(have.Version), Answered: ok}
			return nil
		})
	}
	_ = g.Wait() // the functions give no error
	return out
}
