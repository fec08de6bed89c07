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

// Recorder writes an entry for every ruling on the configuration stream. It reads
// the stream itself from the oldest record, so that a change whose publisher
// died before it wrote an entry is recorded too.
type Recorder struct {
	trail      *Trail
	configs    *confsync.Store
	writeDelay time.Duration

	mu          sync.Mutex
	waiting     []settings.Verdict
	rulingAdded chan struct{}
}

// retryInterval is the time between attempts to add entries when the trail is full.
const retryInterval = time.Second

// NewRecorder returns a recorder. It waits for delay before it writes an entry.
// Processes with different delays thus write an entry only once: the first one
// writes it and the others see it.
func NewRecorder(log platform.Log, trail *Trail, delay time.Duration, logger *slog.Logger) *Recorder {
	r := &Recorder{trail: trail, writeDelay: delay, rulingAdded: make(chan struct{}, 1)}
	r.configs = confsync.New(confsync.Options{Log: log, Logger: logger, ReadOnly: true, OnVerdict: r.onVerdict})
	return r
}

// Run records rulings until ctx ends, and returns ctx's error.
func (r *Recorder) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.configs.Run(ctx) })
	g.Go(func() error { return r.write(ctx) })
	return g.Wait()
}

func (r *Recorder) onVerdict(v settings.Verdict) {
	r.mu.Lock()
	r.waiting = append(r.waiting, v)
	r.mu.Unlock()
	select {
	case r.rulingAdded <- struct{}{}:
	default:
	}
}

// write adds entries in order, once the trail has read what others have written.
func (r *Recorder) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.rulingAdded:
		case <-time.After(retryInterval):
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

// writeOne adds the entry for a ruling if the trail lacks it. It reports whether
// the entry is in the trail or waits for the log.
func (r *Recorder) writeOne(ctx context.Context, v settings.Verdict) bool {
	id := RulingID(v)
	if r.trail.Has(id) {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(r.writeDelay):
	}
	return r.trail.Has(id) || r.trail.Add(ctx, FromVerdict(v)) == nil
}

// RulingID returns the id of the entry for a ruling, the same in all processes.
func RulingID(v settings.Verdict) string {
	return fmt.Sprintf("config-%d", v.Offset)
}

// FromVerdict returns the entry for a ruling.
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
