package audit

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/confsync"
	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/platform"
)

// Recorder writes an entry for every ruling on the configuration stream. It
// reads the stream itself from the oldest start there is, so that a change
// whose publisher died before its entry was written is entered all the same.
type Recorder struct {
	trail *Trail
	store *confsync.Store
	delay time.Duration

	mu      sync.Mutex
	waiting []settings.Verdict
	news    chan struct{}
}

// retryEvery is the time between attempts to add entries when the trail is full.
const retryEvery = time.Second

// NewRecorder makes a recorder. Each process waits for its own delay before it
// writes, so that one of several writes and the others see that it did.
func NewRecorder(log platform.Log, trail *Trail, delay time.Duration, logger *slog.Logger) *Recorder {
	r := &Recorder{trail: trail, delay: delay, news: make(chan struct{}, 1)}
	r.store = confsync.New(confsync.Options{Log: log, Logger: logger, ReadOnly: true, OnVerdict: r.ruled})
	return r
}

// Run records until ctx ends; it gives ctx's error.
func (r *Recorder) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.store.Run(ctx) })
	g.Go(func() error { return r.write(ctx) })
	return g.Wait()
}

func (r *Recorder) ruled(v settings.Verdict) {
	r.mu.Lock()
	r.waiting = append(r.waiting, v)
	r.mu.Unlock()
	select {
	case r.news <- struct{}{}:
	default:
	}
}

// write adds entries in order, once the trail knows what others have written.
func (r *Recorder) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.news:
		case <-time.After(retryEvery):
		}
		if !r.trail.CaughtUp() {
			continue
		}
		r.writeWaiting(ctx)
	}
}

func (r *Recorder) writeWaiting(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		if len(r.waiting) == 0 {
			r.mu.Unlock()
			return
		}
		v := r.waiting[0]
		r.mu.Unlock()
		if !r.writeOne(ctx, v) {
			return
		}
		r.mu.Lock()
		r.waiting = r.waiting[1:]
		r.mu.Unlock()
	}
}

// writeOne reports whether the entry of a ruling is on its way or there.
func (r *Recorder) writeOne(ctx context.Context, v settings.Verdict) bool {
	id := RulingID(v)
	if r.trail.Has(id) {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(r.delay):
	}
	return r.trail.Has(id) || r.trail.Add(ctx, FromVerdict(v)) == nil
}

// RulingID gives the id of the entry for a ruling; all processes give the same.
func RulingID(v settings.Verdict) string {
	return fmt.Sprintf("config-%d", v.Offset)
}

// FromVerdict gives the entry for a ruling.
func FromVerdict(v settings.Verdict) Entry {
	e := Entry{ID: RulingID(v), At: v.At, Ruling: Ruling(v.Ruling), Why: Truncate(v.Why), Version: v.Version}
	if rec := v.Record; rec != nil {
		e.Record, e.Author, e.Reason, e.Base = rec.ID, rec.Author, rec.Reason, rec.Base
	}
	if v.After != nil {
		e.SetChanges(config.Diff(v.Before, v.After))
	}
	return e
}
