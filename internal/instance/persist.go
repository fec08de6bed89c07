package instance

import (
	"context"
	"errors"
	"log/slog"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/recordset"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// persist writes a batch until the store confirms it, but for what it refuses for good, or
// refuses the term.
func (o *owner) persist(p cell.Persist) {
	deleted := o.deleteSubmissions(p.Delete)
	items, done, err := o.batchItems(p)
	if err != nil {
		evPersistFailed.Log(o.ctx, o.inst.logger, slog.Any("error", err))
		o.giveUpTerm()
		return
	}
	began := boottime()
	plan := recordset.NewPlan(o.inst.Settings.Store, items)
	for step, ok := plan.Next(); ok && o.ctx.Err() == nil; step, ok = plan.Next() {
		r, err := o.writeStep(p.Batch, step)
		if errors.Is(err, external.ErrFenced) {
			o.giveUpTerm()
			return
		}
		if refusesAll := plan.Answered(r); r == recordset.Failed || refusesAll {
			sleep(o.ctx, persistRetryDelay)
		}
	}
	if deleted {
		o.deleteProgress(p)
	}
	if o.ctx.Err() != nil {
		return
	}
	for _, key := range plan.RefusedKeys() {
		o.refused(&done, key, "refused by the store")
	}
	mProgressWriteTime.Update((boottime() - began).Seconds())
	evPersisted.Log(o.ctx, o.inst.logger, slog.Int64("batch", p.Batch), slog.Int("jobs", len(p.Progress)),
		slog.Int("refused", len(done.Refused)), slog.Duration("took", boottime()-began))
	o.step(done)
}

// batchItems returns the items of a batch. The roster is the last one: it may say that a worker has
// no runs, which holds only once the ends of those that it had are durable. What no record can
// hold is left out and noted in done.
func (o *owner) batchItems(p cell.Persist) (items []recordset.Item, done cell.Persisted, err error) {
	e := recordEncoder{limits: o.inst.Settings.Store, version: recordVersion{Term: o.term, Batch: p.Batch}, explicit: !o.inst.readsIntervals.Load()}
	done = cell.Persisted{Batch: p.Batch}
	for _, j := range p.Progress {
		item, dropped, err := e.progress(j)
		switch {
		case errors.Is(err, errTooLarge):
			o.refused(&done, string(j.ID), err.Error())
			continue
		case err != nil:
			return nil, done, err
		case dropped > 0:
			mCheckpointsDropped.Add(dropped)
			evCheckpointsLeft.Log(o.ctx, o.inst.logger, slog.String("job", string(j.ID)), slog.Int("checkpoints", dropped))
		}
		items = append(items, item)
	}
	if p.Roster == nil {
		return items, done, nil
	}
	item, err := e.roster(p.Roster)
	if errors.Is(err, errTooLarge) {
		o.refused(&done, keyRoster, err.Error())
		return items, done, nil
	}
	return append(items, item), done, err
}

// refused records that the store will never take the progress of a job, or the roster.
func (o *owner) refused(done *cell.Persisted, key, reason string) {
	mRecordsRefused.Inc()
	evItemRefused.Log(o.ctx, o.inst.logger, slog.String("key", key), slog.String("reason", reason))
	if key == keyRoster {
		done.RosterRefused = true
		return
	}
	done.Refused = append(done.Refused, job.ID(key))
}

// writeStep carries out a step of a plan. A step without items writes a record that the store has
// taken before.
func (o *owner) writeStep(batch int64, s recordset.Step) (recordset.Result, error) {
	records := s.Records()
	if len(s.Items) == 0 {
		records = []external.Record{o.progress.fenceRecord()}
	}
	err := o.progress.write(o.ctx, appendID{batch: batch, number: s.Number}, records)
	if err != nil {
		evPersistFailed.Log(o.ctx, o.inst.logger, slog.Int64("batch", batch), slog.Int("items", len(s.Items)), slog.Any("error", err))
	}
	return resultOf(err), err
}

func resultOf(err error) recordset.Result {
	switch {
	case err == nil:
		return recordset.Written
	case errors.Is(err, external.ErrInvalidRequest):
		return recordset.Refused
	}
	return recordset.Failed
}

// appendChunks appends records that need not be written together, as many at a time as the store
// takes.
func (i *Instance) appendChunks(ctx context.Context, t external.Topic, records []external.Record) error {
	for _, c := range recordset.Chunks(i.Settings.Store, records) {
		if _, err := i.store.Append(ctx, external.Append{Topic: t, Records: c}); err != nil {
			return err
		}
	}
	return nil
}
