package confsync

import (
	"context"
	"errors"
	"log/slog"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/settings"
	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/platform"
)

// Publish appends a change and waits for the ruling on it. The error wraps
// ErrNotRecorded or, when the fate is open as ctx ends, ErrPending.
func (s *Store) Publish(ctx context.Context, rec *settings.Record) (settings.Verdict, error) {
	data, err := settings.EncodeRecord(rec)
	if err != nil {
		return settings.Verdict{}, eris.Wrap(ErrNotRecorded, err.Error())
	}
	ruled := s.await(rec.ID)
	_, err = s.o.Writer.Append(ctx, platform.StreamConfig, platform.Record{ID: rec.ID, Type: settings.TypeChange, Data: data})
	if err != nil && !unclear(err) {
		s.forget(rec.ID, ruled)
		return settings.Verdict{}, eris.Wrap(ErrNotRecorded, err.Error())
	}
	select {
	case v := <-ruled:
		return v, nil
	case <-ctx.Done():
		s.forget(rec.ID, ruled)
		return settings.Verdict{}, eris.Wrap(ErrPending, ctx.Err().Error())
	}
}

// unclear reports whether an append that failed may still have taken effect.
func unclear(err error) bool {
	return errors.Is(err, logclient.ErrUnclear) || errors.Is(err, platform.ErrUnclear)
}

func (s *Store) await(id string) chan settings.Verdict {
	ch := make(chan settings.Verdict, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[id] = append(s.waiting[id], ch)
	s.settle()
	return ch
}

func (s *Store) forget(id string, ch chan settings.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.waiting[id][:0]
	for _, c := range s.waiting[id] {
		if c != ch {
			left = append(left, c)
		}
	}
	if len(left) == 0 {
		delete(s.waiting, id)
		return
	}
	s.waiting[id] = left
}

// save writes snapshots.
func (s *Store) save(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case snap := <-s.saves:
			s.saveOne(ctx, snap)
		}
	}
}

func (s *Store) saveOne(ctx context.Context, snap *settings.Snapshot) {
	data, err := settings.EncodeSnapshot(snap)
	if err == nil {
		call, cancel := context.WithTimeout(ctx, s.o.CallTimeout)
		defer cancel()
		rec := platform.Record{ID: logclient.NewID(), Type: settings.TypeSnapshot, Data: data}
		_, err = s.o.Writer.Append(call, platform.StreamConfig, rec)
	}
	version := slog.Uint64("version", uint64(snap.Version))
	if err != nil {
		evSaveFailed.Log(ctx, s.o.Logger, version, slog.Any("error", err))
		return
	}
	evSaved.Log(ctx, s.o.Logger, version, slog.Int("bytes", len(data)))
}
