package confsync

import (
	"context"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// Peers calls the stores of other hosts by their address.
type Peers interface {
	Exchange(ctx context.Context, addr string, push wire.ConfigPush) (wire.ConfigReply, error)
}

// linkPeers calls other hosts over links.
type linkPeers struct{ pool *link.Pool }

// Exchange makes one call of wire.KindConfig.
func (p linkPeers) Exchange(ctx context.Context, addr string, push wire.ConfigPush) (wire.ConfigReply, error) {
	return link.Call[wire.ConfigPush, wire.ConfigReply](ctx, p.pool, addr, wire.KindConfig, push)
}

// RegisterHandlers registers the handler of other hosts' calls with a link server.
func (s *Store) RegisterHandlers(srv *link.Server) {
	link.Handle(srv, wire.KindConfig, func(ctx context.Context, from link.Peer, push wire.ConfigPush) (wire.ConfigReply, error) {
		return s.Exchange(ctx, from.Host, push), nil
	})
}

// Exchange applies another host's push and returns what that host lacks. A push of
// version 0 comes from a host without a known state, which needs a snapshot.
func (s *Store) Exchange(ctx context.Context, from model.HostID, push wire.ConfigPush) wire.ConfigReply {
	s.recordAnswer(from, true)
	s.applyAnswer(ctx, from, push.Version, push.Record)
	return s.replyTo(ctx, push.Version)
}
