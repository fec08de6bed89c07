package admin

import (
	"context"

	"coltsfootmux/internal/link"
	"coltsfootmux/internal/wire"
)

// Schedulers sends requests to schedulers by address.
type Schedulers interface {
	Overview(ctx context.Context, addr string) (wire.Overview, error)
	Status(ctx context.Context, addr string, q wire.StatusQuery) (wire.StatusReply, error)
	Cancel(ctx context.Context, addr string, c wire.Cancel) (wire.CancelReply, error)
}

// NewLinkSchedulers returns a Schedulers that uses the links of a pool.
func NewLinkSchedulers(p *link.Pool) Schedulers { return linkSchedulers{p} }

type linkSchedulers struct{ pool *link.Pool }

// Overview requests a scheduler's overview of the cells that it owns.
func (l linkSchedulers) Overview(ctx context.Context, addr string) (wire.Overview, error) {
	return link.Call[wire.OverviewQuery, wire.Overview](ctx, l.pool, addr, wire.KindOverview, wire.OverviewQuery{})
}

// Status requests the status of jobs and requests from a scheduler.
func (l linkSchedulers) Status(ctx context.Context, addr string, q wire.StatusQuery) (wire.StatusReply, error) {
	return link.Call[wire.StatusQuery, wire.StatusReply](ctx, l.pool, addr, wire.KindStatus, q)
}

// Cancel requests a cancellation from a scheduler.
func (l linkSchedulers) Cancel(ctx context.Context, addr string, c wire.Cancel) (wire.CancelReply, error) {
	return link.Call[wire.Cancel, wire.CancelReply](ctx, l.pool, addr, wire.KindCancel, c)
}
