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

// Publish appends a change to the log and waits for the ruling on it. The error
// wraps ErrNotRecorded or, if the outcome is not known when ctx ends, ErrPending.
func (s *Store) Publish(ctx context.Context, rec *settings.Record) (settings.Verdict, error) {
	data, err := settings.EncodeRecord(rec)
	if err != nil {
		return settings.Verdict{}, eris.Wrap(ErrNotRecorded, err.Error())
	}
	ruled := s.addWaiter(rec.ID)
	_, err = s.o.Writer.Append(ctx, platform.StreamConfig, platform.Record{ID: rec.ID, Type: settings.TypeChange, Data: data})
	if err != nil && !outcomeUnknown(err) {
		s.removeWaiter(rec.ID, ruled)
		return settings.Verdict{}, eris.Wrap(ErrNotRecorded, err.Error())
	}
	select {
	case v := <-ruled:
		return v, nil
	case <-ctx.Done():
		s.removeWaiter(rec.ID, ruled)
		return settings.Verdict{}, eris.Wrap(ErrPending, ctx.Err().Error())
	}
}

// outcomeUnknown reports whether a failed append may still have taken effect.
func outcomeUnknown(err error) bool {
	return errors.Is(err, logclient.ErrUnclear) || errors.Is(err, platform.ErrUnclear)
}

func (s *Store) addWaiter(id string) chan settings.Verdict {
	ch := make(chan settings.Verdict, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters[id] = append(s.waiters[id], ch)
	s.answerAccepted()
	return ch
}

func (s *Store) removeWaiter(id string, ch chan settings.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.waiters[id][:0]
	for _, c := range s.waiters[id] {
		if c != ch {
			left = append(left, c)
		}
	}
	if len(left) == 0 {
		delete(s.waiters, id)
		return
	}
	s.waiters[id] = left
}

// writeSnapshots writes the core's snapshots to the log until ctx ends.
func (s *Store) writeSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case snap := <-s.snapshots:
			s.writeSnapshot(ctx, snap)
		}
	}
}

func (s *Store) writeSnapshot(ctx context.Context, snap *settings.Snapshot) {
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
