package confsync

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

const (
	pageEntries = 64
	minBackoff  = 100 * time.Millisecond
	maxBackoff  = 3 * time.Second

	// firstWindow is how many of the last records a reader without a known state
	// reads first; each further window is windowGrowth times as large.
	firstWindow  = 16
	windowGrowth = 8
)

// follow reads the stream until ctx ends, and retries after failures.
func (s *Store) follow(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := s.readOnce(ctx)
		if err == nil {
			if s.logDown.Swap(false) {
				evLogBack.Log(ctx, s.o.Logger)
			}
			backoff = minBackoff
			continue
		}
		if ctx.Err() == nil && !s.logDown.Swap(true) {
			evLogDown.Log(ctx, s.o.Logger, slog.Any("error", err))
		}
		pause(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

// readOnce reads one page, or determines where to start reading.
func (s *Store) readOnce(ctx context.Context) error {
	next := s.next()
	if next == 0 {
		return s.findStart(ctx)
	}
	call, cancel := context.WithTimeout(ctx, s.o.ReadWait+s.o.CallTimeout)
	defer cancel()
	entries, err := s.o.Log.Read(call, platform.StreamConfig, next, pageEntries, s.o.ReadWait)
	if errors.Is(err, platform.ErrExpired) {
		evGap.Log(ctx, s.o.Logger, slog.Uint64("offset", uint64(next)))
		return s.findStart(ctx)
	}
	if err != nil {
		return err
	}
	s.applyPage(ctx, next, entries)
	return nil
}

func (s *Store) next() model.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Next()
}

// applyPage passes entries to the core as long as they are those that it reads
// next; an update from another host may have changed its position meanwhile.
func (s *Store) applyPage(ctx context.Context, from model.Offset, entries []platform.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		if s.core.Next() != from {
			return
		}
		s.stepLocked(ctx, settings.Read{Entry: e})
		from = e.Offset + 1
	}
	if s.core.Next() == from && len(entries) == 0 && !s.widenWindow(ctx, from) {
		s.stepLocked(ctx, settings.Head{Next: from})
	}
}

// findStart tells the core where reading starts. A reader without a known state
// looks for a snapshot near the end of the stream first, then further back.
func (s *Store) findStart(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, s.o.CallTimeout)
	defer cancel()
	b, err := s.o.Log.Bounds(call, platform.StreamConfig)
	if err != nil {
		return err
	}
	oldest := max(b.Oldest, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepLocked(ctx, settings.Opened{Oldest: oldest})
	if s.core.Known() && s.core.Current() != nil || s.o.ReadOnly {
		return nil
	}
	s.windowSize = firstWindow
	s.startWindow(ctx, oldest, b.Next)
	return nil
}

// startWindow starts reading s.windowSize records before the end of the stream.
func (s *Store) startWindow(ctx context.Context, oldest, next model.Offset) {
	s.windowStart = oldest
	if next > oldest+s.windowSize {
		s.windowStart = next - s.windowSize
	}
	s.stepLocked(ctx, settings.Opened{Oldest: s.windowStart})
	s.oldestKept = oldest
}

// widenWindow starts reading again further back if the end was reached without a
// known state. It reports whether it did.
func (s *Store) widenWindow(ctx context.Context, next model.Offset) bool {
	if s.core.Known() || s.windowStart <= s.oldestKept {
		return false
	}
	s.windowSize *= windowGrowth
	s.startWindow(ctx, s.oldestKept, next)
	return true
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
