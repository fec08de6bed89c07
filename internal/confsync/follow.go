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

	// firstWindow is how many of the last records a reader without a start reads
	// first; each further window is windowGrowth times as large.
	firstWindow  = 16
	windowGrowth = 8
)

// follow reads the stream, through outages, until ctx ends.
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

// readOnce reads one page, or finds out where to start.
func (s *Store) readOnce(ctx context.Context) error {
	next := s.next()
	if next == 0 {
		return s.open(ctx)
	}
	call, cancel := context.WithTimeout(ctx, s.o.Poll+s.o.CallTimeout)
	defer cancel()
	entries, err := s.o.Log.Read(call, platform.StreamConfig, next, pageEntries, s.o.Poll)
	if errors.Is(err, platform.ErrExpired) {
		evGap.Log(ctx, s.o.Logger, slog.Uint64("offset", uint64(next)))
		return s.open(ctx)
	}
	if err != nil {
		return err
	}
	s.takePage(ctx, next, entries)
	return nil
}

func (s *Store) next() model.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Next()
}

// takePage hands entries over as long as they are what the core reads next; an
// update from another host may have moved it in the meantime.
func (s *Store) takePage(ctx context.Context, from model.Offset, entries []platform.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		if s.core.Next() != from {
			return
		}
		s.stepLocked(ctx, settings.Read{Entry: e})
		from = e.Offset + 1
	}
	if s.core.Next() == from && len(entries) == 0 && !s.widen(ctx, from) {
		s.stepLocked(ctx, settings.Head{Next: from})
	}
}

// open tells the core where reading starts. A reader that lacks a start looks
// for a snapshot near the end of the stream, and then further and further back.
func (s *Store) open(ctx context.Context) error {
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
	s.window = firstWindow
	s.openWindow(ctx, oldest, b.Next)
	return nil
}

// openWindow starts reading a window before the end.
func (s *Store) openWindow(ctx context.Context, oldest, next model.Offset) {
	s.opened = oldest
	if next > oldest+s.window {
		s.opened = next - s.window
	}
	s.stepLocked(ctx, settings.Opened{Oldest: s.opened})
	s.oldest = oldest
}

// widen starts further back when the end is reached without a start.
func (s *Store) widen(ctx context.Context, next model.Offset) bool {
	if s.core.Known() || s.opened <= s.oldest {
		return false
	}
	s.window *= windowGrowth
	s.openWindow(ctx, s.oldest, next)
	return true
}

// pause waits for a time or for the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
