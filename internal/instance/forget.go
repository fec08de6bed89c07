package instance

import (
	"log/slog"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// forget drops the submissions and cancellations of jobs from every topic that
// holds any, and says whether that is done. Only then may their progress be
// dropped: a submission without it would run again.
func (o *owner) forget(ids []job.ID) bool {
	done := true
	for n, records := range o.recordsOf(ids) {
		if len(records) == 0 {
			continue
		}
		if err := o.dropFrom(topicsJobs[n], records); err != nil {
			evPersistFailed.Log(o.ctx, o.inst.logger, slog.Int("forgotten", len(ids)), slog.Any("error", err))
			done = false
		}
	}
	return done
}

// recordsOf gives what drops the jobs' records, by topic.
func (o *owner) recordsOf(ids []job.ID) [][]external.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([][]external.Record, len(topicsJobs))
	for _, id := range ids {
		for n := range topicsJobs {
			if !o.where[id].has(n) {
				continue
			}
			out[n] = append(out[n], external.Record{Key: keySubmission + string(id)}, external.Record{Key: keyCancellation + string(id)})
		}
	}
	return out
}

func (o *owner) dropFrom(t external.Topic, records []external.Record) error {
	_, err := o.inst.log.Append(o.ctx, external.Append{Topic: t, Records: records})
	return err
}

// dropProgress drops the progress of jobs whose submissions are gone.
func (o *owner) dropProgress(p cell.Persist) {
	if len(p.Forget) == 0 {
		return
	}
	if err := o.progress.drop(o.ctx, p.Batch, p.Forget); err != nil {
		evPersistFailed.Log(o.ctx, o.inst.logger, slog.Int("forgotten", len(p.Forget)), slog.Any("error", err))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range p.Forget {
		delete(o.where, id)
	}
}
