package logstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Client gives direct access to the store for a caller in a region, under the
// store's faults.
func (s *Store) Client(region model.Region) platform.Log {
	return &client{store: s, region: region}
}

type client struct {
	store  *Store
	region model.Region
}

type appended struct {
	first model.Offset
	err   error
}

// Append goes on when its caller has given up: what was sent is done, late.
func (c *client) Append(ctx context.Context, name platform.Stream, recs []platform.Record) (model.Offset, error) {
	done := make(chan appended, 1)
	go func() { done <- c.append(context.WithoutCancel(ctx), name, recs) }()
	select {
	case a := <-done:
		return a.first, a.err
	case <-ctx.Done():
		return 0, eris.Wrap(platform.ErrUnclear, ctx.Err().Error())
	}
}

func (c *client) append(ctx context.Context, name platform.Stream, recs []platform.Record) appended {
	if err := c.before(ctx); err != nil {
		return appended{err: err}
	}
	sleep(ctx, c.store.opts.AppendLatency[c.region])
	first, err := c.store.append(name, recs)
	if c.store.faults.LoseAnswer() {
		return appended{err: eris.Wrap(platform.ErrUnclear, "answer lost")}
	}
	return appended{first: first, err: err}
}

func (c *client) Read(ctx context.Context, name platform.Stream, from model.Offset, limit int, wait time.Duration) ([]platform.Entry, error) {
	if err := c.before(ctx); err != nil {
		return nil, err
	}
	return c.store.poll(ctx, name, from, limit, wait)
}

func (c *client) Bounds(ctx context.Context, name platform.Stream) (platform.Bounds, error) {
	if err := c.before(ctx); err != nil {
		return platform.Bounds{}, err
	}
	return c.store.bounds(name)
}

func (c *client) before(ctx context.Context) error {
	down := c.store.faults.BeforeAction(ctx)
	if ctx.Err() != nil {
		return eris.Wrap(platform.ErrUnclear, ctx.Err().Error())
	}
	if down {
		return eris.Wrap(platform.ErrUnavailable, "down")
	}
	return nil
}

// poll reads, waiting up to wait for the first entry.
func (s *Store) poll(ctx context.Context, name platform.Stream, from model.Offset, limit int, wait time.Duration) ([]platform.Entry, error) {
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	for {
		es, appended, err := s.read(name, from, limit)
		if err != nil || len(es) > 0 {
			return es, err
		}
		select {
		case <-appended:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, eris.Wrap(platform.ErrUnclear, ctx.Err().Error())
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
