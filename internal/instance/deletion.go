package instance

import (
	"log/slog"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// deleteSubmissions deletes the submissions and cancellations of jobs from every topic that
// holds any, and reports whether all are deleted. Only then may the jobs' progress be
// deleted: a submission without progress would run again.
func (o *owner) deleteSubmissions(ids []job.ID) bool {
	done := true
	for n, records := range o.tombstonesOf(ids) {
		if len(records) == 0 {
			continue
		}
		if err := o.inst.appendChunks(o.ctx, topicsJobs[n], records); err != nil {
			evPersistFailed.Log(o.ctx, o.inst.logger, slog.Int("forgotten", len(ids)), slog.Any("error", err))
			done = false
		}
	}
	return done
}

// tombstonesOf returns the records that delete those of the jobs, by topic.
func (o *owner) tombstonesOf(ids []job.ID) [][]external.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([][]external.Record, len(topicsJobs))
	for _, id := range ids {
		for n := range topicsJobs {
			if !o.jobTopics[id].has(n) {
				continue
			}
			out[n] = append(out[n], external.Record{Key: keySubmission + string(id)}, external.Record{Key: keyCancellation + string(id)})
		}
	}
	return out
}

// deleteProgress deletes the progress of jobs whose submissions have been deleted.
func (o *owner) deleteProgress(p cell.Persist) {
	if len(p.Delete) == 0 {
		return
	}
	if err := o.progress.deleteJobs(o.ctx, o.inst.Settings.Store, p.Batch, p.Delete); err != nil {
		evPersistFailed.Log(o.ctx, o.inst.logger, slog.Int("forgotten", len(p.Delete)), slog.Any("error", err))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range p.Delete {
		delete(o.jobTopics, id)
	}
}
