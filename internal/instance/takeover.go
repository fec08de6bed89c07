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
type offsets struct{ jobs, workers int64 }

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
		evTakeOverFail.Log(o.ctx, o.inst.logger, slog.Int64("term", o.term), slog.Any("error", err))
		sleep(o.ctx, readRetry)
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
	o.jobsRead = instant()
	o.mu.Unlock()
	o.step(ev)
}

func (o *owner) load() (at offsets, ev cell.Loaded, err error) {
	if err := o.fence(); err != nil {
		return at, ev, err
	}
	var jobs, progress, workers external.Page
	g, ctx := errgroup.WithContext(o.ctx)
	read := func(t external.Topic, into *external.Page) {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, readWait+readTime)
			defer cancel()
			p, err := o.inst.log.Newest(ctx, t)
			*into = p
			return err
		})
	}
	read(topicJobs, &jobs)
	read(topicProgress, &progress)
	read(o.inst.WorkerList, &workers)
	if err := g.Wait(); err != nil {
		return at, ev, err
	}
	ev = o.decode(jobs, progress, workers)
	return offsets{jobs: jobs.End, workers: workers.End}, ev, nil
}

// fence makes the store refuse progress of every owner before.
func (o *owner) fence() error {
	ctx, cancel := context.WithTimeout(o.ctx, appendTry)
	defer cancel()
	_, err := o.inst.log.Append(ctx, external.Append{
		Topic: topicProgress, Producer: &external.Producer{Name: producerOwner, Epoch: o.term},
	})
	return err
}

func (o *owner) decode(jobs, progress, workers external.Page) cell.Loaded {
	ev := cell.Loaded{Progress: make(map[job.ID]job.Progress)}
	bad := func(t external.Topic, r external.Record, err error) {
		evRecordBad.Log(o.ctx, o.inst.logger, slog.String("topic", string(t)), slog.String("key", r.Key), slog.Any("error", err))
	}
	for _, r := range jobs.Records {
		rec, err := readJobRecord(r)
		switch {
		case err != nil:
			bad(topicJobs, r, err)
		case rec.submitted != nil:
			ev.Jobs = append(ev.Jobs, *rec.submitted)
		case rec.cancelled != "":
			ev.Cancels = append(ev.Cancels, rec.cancelled)
		}
	}
	for _, r := range progress.Records {
		if len(r.Value) == 0 {
			continue
		}
		if r.Key == keyRoster {
			if err := decodeRecord(r.Value, &ev.Roster); err != nil {
				bad(topicProgress, r, err)
			}
			continue
		}
		var p job.Progress
		if err := decodeRecord(r.Value, &p); err != nil {
			bad(topicProgress, r, err)
			continue
		}
		ev.Progress[job.ID(r.Key)] = p
	}
	for _, r := range workers.Records {
		if len(r.Value) == 0 {
			continue
		}
		w, err := o.inst.DecodeWorker(r)
		if err != nil {
			evWorkerBad.Log(o.ctx, o.inst.logger, slog.String("key", r.Key), slog.Any("error", err))
			continue
		}
		ev.Workers = append(ev.Workers, w)
	}
	sortBySubmission(ev.Jobs)
	return ev
}
