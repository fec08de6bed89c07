package admin

import (
	"context"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// Schedulers reaches schedulers by their address.
type Schedulers interface {
	Overview(ctx context.Context, addr string) (wire.Overview, error)
	Status(ctx context.Context, addr string, q wire.StatusQuery) (wire.StatusReply, error)
	Cancel(ctx context.Context, addr string, c wire.Cancel) (wire.CancelReply, error)
}

// OverLinks reaches schedulers over the links of a pool.
func OverLinks(p *link.Pool) Schedulers { return linkSchedulers{p} }

type linkSchedulers struct{ pool *link.Pool }

// Overview asks a scheduler for what it owns.
func (l linkSchedulers) Overview(ctx context.Context, addr string) (wire.Overview, error) {
	return link.Call[wire.OverviewQuery, wire.Overview](ctx, l.pool, addr, wire.KindOverview, wire.OverviewQuery{})
}

// Status asks a scheduler about work.
func (l linkSchedulers) Status(ctx context.Context, addr string, q wire.StatusQuery) (wire.StatusReply, error) {
	return link.Call[wire.StatusQuery, wire.StatusReply](ctx, l.pool, addr, wire.KindStatus, q)
}

// Cancel asks a scheduler to withdraw work.
func (l linkSchedulers) Cancel(ctx context.Context, addr string, c wire.Cancel) (wire.CancelReply, error) {
	return link.Call[wire.Cancel, wire.CancelReply](ctx, l.pool, addr, wire.KindCancel, c)
}
