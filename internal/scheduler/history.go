package scheduler

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

const (
	// historyTimeout bounds the reading of one group's history. Work does not
	// wait for the log longer than this after a takeover.
	historyTimeout = 3 * time.Second
	historyPage    = 512
)

// history is what the log knows of a key group.
type history struct {
	outcomes []ledger.Recorded
	open     []jobRecord
}

// readHistory reads a group's outcomes and open jobs and tells the loop. What the
// log can't give now only leaves more to be answered as unknown.
func (s *Scheduler) readHistory(ctx context.Context, g model.GroupID, e model.Epoch) {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	h, err := s.fetchHistory(ctx, g)
	if err != nil {
		evHistoryGap.Log(ctx, s.o.Logger, slog.Uint64("group", uint64(g)), slog.Any("error", err))
	}
	s.post(historyMsg{group: g, epoch: e, hist: h})
}

func (s *Scheduler) fetchHistory(ctx context.Context, g model.GroupID) (history, error) {
	var h history
	jobs := make(map[model.Key]jobRecord)
	var order []model.Key
	err := s.scan(ctx, shard(platform.StreamJobs, g), func(r platform.Record) error {
		var j jobRecord
		if err := decode(r, &j); err != nil {
			return err
		}
		if _, ok := jobs[j.Work.Key]; !ok {
			order = append(order, j.Work.Key)
		}
		jobs[j.Work.Key] = j
		return nil
	})
	if err != nil {
		return h, err
	}
	err = s.scan(ctx, shard(platform.StreamOutcomes, g), func(r platform.Record) error {
		var o ledger.Recorded
		if err := decode(r, &o); err != nil {
			return err
		}
		h.outcomes = append(h.outcomes, o)
		delete(jobs, o.Result.Key)
		return nil
	})
	for _, k := range order {
		if j, ok := jobs[k]; ok {
			h.open = append(h.open, j)
		}
	}
	return h, err
}

// scan reads a stream from its oldest record to its head.
func (s *Scheduler) scan(ctx context.Context, st platform.Stream, f func(platform.Record) error) error {
	b, err := s.o.RawLog.Bounds(ctx, st)
	if err != nil {
		return err
	}
	for at := b.Oldest; at < b.Next; {
		entries, err := s.o.RawLog.Read(ctx, st, at, historyPage, 0)
		if errors.Is(err, platform.ErrExpired) {
			if b, err = s.o.RawLog.Bounds(ctx, st); err != nil {
				return err
			}
			at = max(b.Oldest, at+1)
			continue
		}
		if err != nil {
			return err
		}
		if len(entries) == 0 {
			return nil
		}
		for _, e := range entries {
			if err := f(e.Record); err != nil {
				evBadRecord.Log(ctx, s.o.Logger, slog.String("stream", string(st)), slog.Any("error", err))
			}
		}
		at = entries[len(entries)-1].Offset + 1
	}
	return nil
}
