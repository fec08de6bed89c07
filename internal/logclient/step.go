package logclient

import (
	"context"
	"log/slog"
	"time"

	"coltsfootmux/internal/core/journal"
	"coltsfootmux/internal/platform"
)

// step takes one event through the writer's core.
func (c *Client) step(ev journal.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stepLocked(ev)
}

func (c *Client) stepLocked(ev journal.Event) {
	if c.closed {
		return
	}
	for _, a := range c.writer.Step(c.opts.Clock(), ev) {
		c.carryOut(a)
	}
	c.setTimer()
	close(c.settled)
	c.settled = make(chan struct{})
}

func (c *Client) carryOut(a journal.Action) {
	switch a := a.(type) {
	case journal.Locate:
		go c.locate(a)
	case journal.Append:
		go c.append(a)
	case journal.ReadTail:
		go c.readTail(a)
	case journal.Answer:
		c.answer(a)
	}
}

func (c *Client) answer(a journal.Answer) {
	answered, ok := c.waiting[a.Ticket]
	if !ok {
		return
	}
	delete(c.waiting, a.Ticket)
	answered <- a
}

// setTimer has the core ticked when it next has something to do.
func (c *Client) setTimer() {
	if c.timer != nil {
		c.timer.Stop()
	}
	at, ok := c.writer.Due()
	if !ok {
		return
	}
	wait := max(at.Sub(c.opts.Clock()), 0)
	c.timer = time.AfterFunc(wait, func() { c.step(journal.Tick{}) })
}

func (c *Client) locate(a journal.Locate) {
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.CallTimeout)
	defer cancel()
	b, err := c.log.Bounds(ctx, a.Stream)
	c.answered(a.Stream, err, func(f journal.Failure, jitter float64) journal.Event {
		return journal.Located{Stream: a.Stream, Bounds: b, Failure: f, Jitter: jitter}
	})
}

func (c *Client) append(a journal.Append) {
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.CallTimeout)
	defer cancel()
	begun := time.Now()
	first, err := c.log.Append(ctx, a.Stream, a.Records)
	c.countAppend(a, err, time.Since(begun))
	c.answered(a.Stream, err, func(f journal.Failure, jitter float64) journal.Event {
		return journal.Appended{Stream: a.Stream, First: first, Failure: f, Jitter: jitter}
	})
}

func (c *Client) readTail(a journal.ReadTail) {
	ctx, cancel := context.WithTimeout(c.ctx, c.opts.CallTimeout)
	defer cancel()
	es, err := c.log.Read(ctx, a.Stream, a.From, c.opts.Page, 0)
	c.answered(a.Stream, err, func(f journal.Failure, jitter float64) journal.Event {
		return journal.TailRead{Stream: a.Stream, Entries: es, Failure: f, Jitter: jitter}
	})
}

// answered turns what the log answered into the core's event.
func (c *Client) answered(s platform.Stream, err error, event func(journal.Failure, float64) journal.Event) {
	f := failureOf(err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.noteHealth(s, f, err)
	}
	c.stepLocked(event(f, c.rand.Float64()))
}

func (c *Client) countAppend(a journal.Append, err error, took time.Duration) {
	f := failureOf(err)
	mAppends.With(nameOf(f)).Inc()
	mAppendSeconds.Update(took.Seconds())
	if f == journal.FailNone {
		mRecords.Add(len(a.Records))
	}
	if f == journal.FailUnclear && c.ctx.Err() == nil {
		evUnclear.Log(c.ctx, c.opts.Logger, slog.String("stream", string(a.Stream)), slog.String("error", err.Error()))
	}
	if f == journal.FailRefused && len(a.Records) == 1 {
		evRefused.Log(c.ctx, c.opts.Logger, slog.String("stream", string(a.Stream)), slog.String("error", err.Error()))
	}
}

// noteHealth logs when the log service ceases to answer and when it answers
// again; the caller holds the lock.
func (c *Client) noteHealth(s platform.Stream, f journal.Failure, err error) {
	down := f == journal.FailNothing || f == journal.FailUnclear
	if down == c.down {
		return
	}
	c.down = down
	if !down {
		evAvailable.Log(c.ctx, c.opts.Logger, slog.String("stream", string(s)))
		return
	}
	evUnavailable.Log(c.ctx, c.opts.Logger, slog.String("stream", string(s)), slog.String("error", err.Error()))
}

// noteFull logs the first of a run of refused records; the caller holds the lock.
func (c *Client) noteFull(s platform.Stream) {
	mDropped.Inc()
	if c.full {
		return
	}
	c.full = true
	evQueueFull.Log(c.ctx, c.opts.Logger, slog.String("stream", string(s)))
}
