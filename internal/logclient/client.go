package logclient

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/journal"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Client writes and reads the log for one process. It is safe for concurrent use.
type Client struct {
	log  platform.Log
	opts Options
	ctx  context.Context
	stop context.CancelFunc

	mu      sync.Mutex
	closed  bool
	writer  *journal.Writer
	rand    *rand.Rand
	ticket  journal.Ticket
	waiting map[journal.Ticket]chan journal.Answer
	timer   *time.Timer
	settled chan struct{} // closed after each step
	down    bool
	full    bool
}

// New makes a Client. Close ends its calls.
func New(log platform.Log, opts Options) *Client {
	opts = opts.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	c := &Client{
		log:     log,
		opts:    opts,
		ctx:     ctx,
		stop:    stop,
		writer:  journal.NewWriter(opts.Writer),
		rand:    rand.New(rand.NewPCG(opts.Seed, 0)),
		waiting: make(map[journal.Ticket]chan journal.Answer),
		settled: make(chan struct{}),
	}
	return c
}

// NewID gives a record id that no other record has.
func NewID() string { return uuid.Must(uuid.NewV7()).String() }

// Append writes a record and returns once it is on the log, with its offset. A
// record without an ID gets one. The error is ErrNotRecorded when ctx ended
// before the record was sent, ErrUnclear when ctx ended later, ErrQueueFull,
// ErrRefused or ErrClosed.
func (c *Client) Append(ctx context.Context, s platform.Stream, rec platform.Record) (model.Offset, error) {
	ticket, answered, err := c.submit(s, rec)
	if err != nil {
		return 0, err
	}
	a := c.await(ctx, ticket, answered)
	return a.Offset, resultError(a.Result)
}

// await waits for a record's answer, or withdraws it when ctx ends.
func (c *Client) await(ctx context.Context, ticket journal.Ticket, answered <-chan journal.Answer) journal.Answer {
	select {
	case a := <-answered:
		return a
	case <-ctx.Done():
	}
	// If the answer came meanwhile, it stands; else the withdrawal brings one.
	c.step(journal.Withdrawn{Ticket: ticket})
	return <-answered
}

// appendAll writes records together and returns once each has its answer, or
// ctx has ended.
func (c *Client) appendAll(ctx context.Context, s platform.Stream, recs []platform.Record) {
	type pending struct {
		ticket   journal.Ticket
		answered <-chan journal.Answer
	}
	var all []pending
	for _, r := range recs {
		ticket, answered, err := c.submit(s, r)
		if err != nil {
			return
		}
		all = append(all, pending{ticket, answered})
	}
	for _, p := range all {
		c.await(ctx, p.ticket, p.answered)
	}
}

// Enqueue writes a record behind the caller's back, in company of others. The
// error is ErrQueueFull or ErrClosed.
func (c *Client) Enqueue(s platform.Stream, rec platform.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClosed
	}
	before := c.writer.Refused()
	c.stepLocked(journal.Submitted{Stream: s, Record: withID(rec)})
	if c.writer.Refused() > before {
		c.noteFull(s)
		return ErrQueueFull
	}
	c.full = false
	return nil
}

// Flush waits until nothing is left to write, or ctx ends.
func (c *Client) Flush(ctx context.Context) error {
	for {
		c.mu.Lock()
		left, settled := c.writer.Queued(), c.settled
		c.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-settled:
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "%d records left", left)
		}
	}
}

// Queued gives how many records wait or are in flight.
func (c *Client) Queued() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writer.Queued()
}

// Close gives up on what has not been written; call Flush first to wait for it.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	for ticket := range c.waiting {
		c.stepLocked(journal.Withdrawn{Ticket: ticket})
	}
	c.closed = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.stop()
}

func (c *Client) submit(s platform.Stream, rec platform.Record) (journal.Ticket, <-chan journal.Answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, ErrClosed
	}
	c.ticket++
	answered := make(chan journal.Answer, 1)
	c.waiting[c.ticket] = answered
	c.stepLocked(journal.Submitted{Stream: s, Record: withID(rec), Ticket: c.ticket})
	return c.ticket, answered, nil
}

func withID(rec platform.Record) platform.Record {
	if rec.ID == "" {
		rec.ID = NewID()
	}
	return rec
}

func resultError(r journal.Result) error {
	switch r {
	case journal.Recorded:
		return nil
	case journal.QueueFull:
		return ErrQueueFull
	case journal.NotRecorded:
		return ErrNotRecorded
	case journal.RefusedByLog:
		return ErrRefused
	}
	return ErrUnclear
}
