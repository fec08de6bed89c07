package logstore

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Client returns direct access to the store for a caller in a region. The store's
// faults apply.
func (s *Store) Client(region model.Region) platform.Log {
	return &client{store: s, region: region}
}

type client struct {
	store  *Store
	region model.Region
}

type appendResult struct {
	first model.Offset
	err   error
}

// Append continues in the background if ctx ends: an append that was sent is
// still carried out.
func (c *client) Append(ctx context.Context, name platform.Stream, recs []platform.Record) (model.Offset, error) {
	done := make(chan appendResult, 1)
	go func() { done <- c.append(context.WithoutCancel(ctx), name, recs) }()
	select {
	case a := <-done:
		return a.first, a.err
	case <-ctx.Done():
		return 0, eris.Wrap(platform.ErrUnclear, ctx.Err().Error())
	}
}

func (c *client) append(ctx context.Context, name platform.Stream, recs []platform.Record) appendResult {
	if err := c.applyFaults(ctx); err != nil {
		return appendResult{err: err}
	}
	sleep(ctx, c.store.opts.AppendLatency[c.region])
	first, err := c.store.append(name, recs)
	if c.store.faults.LoseAnswer() {
		return appendResult{err: eris.Wrap(platform.ErrUnclear, "answer lost")}
	}
	return appendResult{first: first, err: err}
}

func (c *client) Read(ctx context.Context, name platform.Stream, from model.Offset, limit int, wait time.Duration) ([]platform.Entry, error) {
	if err := c.applyFaults(ctx); err != nil {
		return nil, err
	}
	return c.store.poll(ctx, name, from, limit, wait)
}

func (c *client) Bounds(ctx context.Context, name platform.Stream) (platform.Bounds, error) {
	if err := c.applyFaults(ctx); err != nil {
		return platform.Bounds{}, err
	}
	return c.store.bounds(name)
}

func (c *client) applyFaults(ctx context.Context) error {
	down := c.store.faults.BeforeAction(ctx)
	if ctx.Err() != nil {
		return eris.Wrap(platform.ErrUnclear, ctx.Err().Error())
	}
	if down {
		return eris.Wrap(platform.ErrUnavailable, "down")
	}
	return nil
}

// poll reads entries, and waits up to wait for the first one.
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
