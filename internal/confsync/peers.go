package confsync

import (
	"context"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// Peers reaches the stores of other hosts by their address.
type Peers interface {
	Exchange(ctx context.Context, addr string, push wire.ConfigPush) (wire.ConfigReply, error)
}

// linkPeers reaches them over links.
type linkPeers struct{ pool *link.Pool }

// Exchange makes one call of wire.KindConfig.
func (p linkPeers) Exchange(ctx context.Context, addr string, push wire.ConfigPush) (wire.ConfigReply, error) {
	return link.Call[wire.ConfigPush, wire.ConfigReply](ctx, p.pool, addr, wire.KindConfig, push)
}

// Handle answers the calls of other hosts on a link server.
func (s *Store) Handle(srv *link.Server) {
	link.Handle(srv, wire.KindConfig, func(ctx context.Context, from link.Peer, push wire.ConfigPush) (wire.ConfigReply, error) {
		return s.Offer(ctx, from.Host, push), nil
	})
}

// Offer takes in what another host has, and tells it what this one has. A push
// of version 0 comes from a host that lacks a start and asks for a snapshot.
func (s *Store) Offer(ctx context.Context, from model.HostID, push wire.ConfigPush) wire.ConfigReply {
	s.noteAnswer(from, true)
	s.take(ctx, from, push.Version, push.Record)
	return s.have(ctx, push.Version)
}
