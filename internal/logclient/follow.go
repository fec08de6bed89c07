package logclient

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"coltsfootmux/internal/core/journal"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// follower reads one stream.
type follower struct {
	client *Client
	stream platform.Stream
	entry  func(platform.Entry)
	opts   followOptions
	rand   *rand.Rand
}

// Follow reads a stream from an offset on, 0 for the oldest kept, and hands
// each record on once and in order, until ctx ends; it gives ctx's error. It
// reads on through outages. The memory for record ids is bounded, so a record
// that was written again after very many others may be handed on twice: what
// entry does must be idempotent. The callbacks run one at a time.
func (c *Client) Follow(ctx context.Context, s platform.Stream, from model.Offset, entry func(platform.Entry), opts ...FollowOption) error {
	f := &follower{client: c, stream: s, entry: entry, rand: c.newRand()}
	for _, o := range opts {
		o(&f.opts)
	}
	reader := journal.NewReader(c.opts.Reader, from)
	var ev journal.ReaderEvent = journal.Begin{}
	for ctx.Err() == nil {
		ev = f.carryOut(ctx, reader.Step(ev))
	}
	return ctx.Err()
}

// newRand gives a follower its own source of jitter.
func (c *Client) newRand() *rand.Rand {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rand.New(rand.NewPCG(c.rand.Uint64(), 0))
}

// carryOut does a step's actions; the last is a call or pause that brings the
// next event.
func (f *follower) carryOut(ctx context.Context, actions []journal.ReaderAction) journal.ReaderEvent {
	for _, a := range actions {
		switch a := a.(type) {
		case journal.Deliver:
			f.deliver(a)
		case journal.Reset:
			f.reset(ctx, a)
		case journal.CaughtUp:
			f.opts.callCaughtUp(a.Next)
		case journal.Read:
			return f.read(ctx, a)
		case journal.AskBounds:
			return f.askBounds(ctx)
		case journal.Pause:
			pause(ctx, a.For)
		}
	}
	return journal.PauseOver{}
}

func (f *follower) deliver(a journal.Deliver) {
	if f.opts.keeper != nil {
		f.opts.keeper.saw(a.Entry)
	}
	if a.Again {
		mRepeats.Inc()
		return
	}
	f.entry(a.Entry)
}

func (f *follower) reset(ctx context.Context, a journal.Reset) {
	evReset.Log(ctx, f.client.opts.Logger, slog.String("stream", string(f.stream)), slog.Uint64("next", uint64(a.Next)))
	f.opts.callReset(a.Next)
}

func (f *follower) read(ctx context.Context, a journal.Read) journal.ReaderEvent {
	var wait time.Duration
	if a.Wait {
		wait = f.client.opts.Poll
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.client.opts.CallTimeout)
	defer cancel()
	es, err := f.client.log.Read(ctx, f.stream, a.From, f.client.opts.Page, wait)
	mReads.With(readResult(err)).Inc()
	return journal.PageRead{Entries: es, Failure: failureOf(err), Jitter: f.rand.Float64()}
}

func (f *follower) askBounds(ctx context.Context) journal.ReaderEvent {
	ctx, cancel := context.WithTimeout(ctx, f.client.opts.CallTimeout)
	defer cancel()
	b, err := f.client.log.Bounds(ctx, f.stream)
	return journal.BoundsRead{Bounds: b, Failure: failureOf(err), Jitter: f.rand.Float64()}
}

func readResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, platform.ErrExpired):
		return "expired"
	}
	return "failed"
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
