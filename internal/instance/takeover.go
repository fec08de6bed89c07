package instance

import (
	"context"
	"log/slog"

	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// offsets are where an owner goes on reading after it has taken a cell over.
type offsets struct {
	// jobs holds an offset for each of topicsJobs.
	jobs    []int64
	workers int64
}

// takeOver fences the owner before, reads what is durable and hands it to a new
// core. It tries until it is done; ok is false when the term ended first.
func (o *owner) takeOver() (from offsets, ok bool) {
	began := boottime()
	for o.ctx.Err() == nil {
		at, ev, err := o.load()
		if err == nil {
			o.begin(ev)
			evTakenOver.Log(o.ctx, o.inst.logger, slog.Int64("term", o.term), slog.Int("jobs", len(ev.Jobs)),
				slog.Int("workers", len(ev.Workers)), slog.Duration("took", boottime()-began))
			return at, true
		}
		evTakeOverFailed.Log(o.ctx, o.inst.logger, slog.Int64("term", o.term), slog.Any("error", err))
		sleep(o.ctx, readRetryDelay)
	}
	return offsets{}, false
}

// begin makes the core; from now on the cell is decided here.
func (o *owner) begin(ev cell.Loaded) {
	o.mu.Lock()
	policy := &job.Policy{}
	if p := o.inst.policy.Load(); p != nil {
		policy = p.policy
	}
	o.core = cell.New(o.inst.Settings.Cell, o.term, policy, instant())
	for n := range o.jobsRead {
		o.jobsRead[n] = boottime()
	}
	o.mu.Unlock()
	o.step(ev)
}

// pages are what the store holds at a take-over.
type pages struct {
	jobs     []external.Page
	progress []external.Page
	workers  external.Page
}

func (o *owner) load() (at offsets, ev cell.Loaded, err error) {
	if err := o.progress.fence(o.ctx); err != nil {
		return at, ev, err
	}
	in := pages{jobs: make([]external.Page, len(topicsJobs)), progress: make([]external.Page, len(topicsProgress))}
	g, ctx := errgroup.WithContext(o.ctx)
	read := func(t external.Topic, into *external.Page) {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, readWait+readTimeout)
			defer cancel()
			p, err := o.inst.log.Newest(ctx, t)
			*into = p
			return err
		})
	}
	for n, t := range topicsJobs {
		read(t, &in.jobs[n])
	}
	for n, t := range topicsProgress {
		read(t, &in.progress[n])
	}
	read(o.inst.WorkerTopic, &in.workers)
	if err := g.Wait(); err != nil {
		return at, ev, err
	}
	for _, p := range in.jobs {
		at.jobs = append(at.jobs, p.End)
	}
	at.workers = in.workers.End
	return at, o.decode(in), nil
}

func (o *owner) decode(in pages) cell.Loaded {
	ev := cell.Loaded{Progress: make(map[job.ID]job.Progress)}
	for n, p := range in.jobs {
		o.decodeJobs(n, p, &ev)
	}
	o.decodeProgress(in.progress, &ev)
	o.decodeWorkers(in.workers, &ev)
	sortBySubmission(ev.Jobs)
	return ev
}

func (o *owner) badRecord(t external.Topic, r external.Record, err error) {
	evRecordInvalid.Log(o.ctx, o.inst.logger, slog.String("topic", string(t)), slog.String("key", r.Key), slog.Any("error", err))
}

func (o *owner) decodeJobs(n int, p external.Page, ev *cell.Loaded) {
	for _, r := range p.Records {
		rec, err := readJobRecord(r)
		if err != nil {
			o.badRecord(topicsJobs[n], r, err)
			continue
		}
		o.foundIn(n, rec)
		switch {
		case rec.submitted != nil:
			ev.Jobs = append(ev.Jobs, *rec.submitted)
		case rec.cancelled != "":
			ev.Cancels = append(ev.Cancels, rec.cancelled)
		}
	}
}

// decodeProgress takes the newest of each key over all topics.
func (o *owner) decodeProgress(in []external.Page, ev *cell.Loaded) {
	newest := make(map[job.ID]stamp)
	var roster rosterRecord
	for n, p := range in {
		for _, r := range p.Records {
			var err error
			switch {
			case len(r.Value) == 0 || r.Key == keyFence:
				continue
			case r.Key == keyRoster:
				err = roster.takeNewer(r)
			default:
				err = takeProgress(r, newest, ev)
			}
			o.progress.ways[n].holds[r.Key] = true
			if err != nil {
				o.badRecord(topicsProgress[n], r, err)
			}
		}
	}
	ev.Roster = roster.Workers
}

// takeNewer replaces the list by a record's if that is newer.
func (have *rosterRecord) takeNewer(r external.Record) error {
	var rec rosterRecord
	if err := decodeRecord(r.Value, &rec); err != nil {
		return err
	}
	if rec.Stamp.compare(have.Stamp) > 0 {
		*have = rec
	}
	return nil
}

// takeProgress takes a job's progress if it is newer than what was read of it.
func takeProgress(r external.Record, newest map[job.ID]stamp, ev *cell.Loaded) error {
	var rec progressRecord
	if err := decodeRecord(r.Value, &rec); err != nil {
		return err
	}
	id := job.ID(r.Key)
	if rec.Stamp.compare(newest[id]) > 0 {
		newest[id], ev.Progress[id] = rec.Stamp, rec.Progress
	}
	return nil
}

func (o *owner) decodeWorkers(p external.Page, ev *cell.Loaded) {
	for _, r := range p.Records {
		if len(r.Value) == 0 {
			continue
		}
		w, err := o.inst.DecodeWorker(r)
		if err != nil {
			evWorkerInvalid.Log(o.ctx, o.inst.logger, slog.String("key", r.Key), slog.Any("error", err))
			continue
		}
		ev.Workers = append(ev.Workers, w)
	}
}
