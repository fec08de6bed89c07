package instance

import (
	"log/slog"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/recordset"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// maxTakeOverDelay is the longest time between two attempts to read the stored state; it
// doubles from readRetryDelay.
const maxTakeOverDelay = 600 * time.Millisecond

// resumeOffsets are the offsets from which an owner reads on after it has taken over a cell.
type resumeOffsets struct {
	// jobs holds an offset for each of topicsJobs, unread for those that are not read yet.
	jobs    []int64
	workers int64
}

// takeOver fences the previous owner, reads the stored state and passes it to a new core.
// It retries until it succeeds; ok is false if the term ended first.
func (o *owner) takeOver() (from resumeOffsets, ok bool) {
	began := boottime()
	retry := backoff{min: readRetryDelay, max: maxTakeOverDelay}
	for o.ctx.Err() == nil {
		offsets, ev, err := o.loadState()
		if err == nil {
			o.initCore(ev)
			evTakenOver.Log(o.ctx, o.inst.logger, slog.Int64("term", o.term), slog.Int("jobs", len(ev.Jobs)),
				slog.Int("workers", len(ev.Workers)), slog.Int("unread_topics", o.unreadTopics.size()), slog.Duration("took", boottime()-began))
			return offsets, true
		}
		evTakeOverFailed.Log(o.ctx, o.inst.logger, slog.Int64("term", o.term), slog.Any("error", err))
		sleep(o.ctx, retry.delayAfter(err))
	}
	return resumeOffsets{}, false
}

// initCore creates the core and passes it the stored state. From then on this instance
// decides for the cell.
func (o *owner) initCore(ev cell.Loaded) {
	o.checkTermAfterPause()
	o.mu.Lock()
	policy := &job.Policy{}
	if p := o.inst.policy.Load(); p != nil {
		policy = p.policy
	}
	o.core = cell.New(o.inst.Settings.Cell, o.term, policy, instant())
	ev.TermConfirmedAt = time.Duration(o.confirmedAt.Load())
	for n := range o.jobsReadAt {
		if !o.unreadTopics.has(n) {
			o.jobsReadAt[n] = boottime()
		}
	}
	ev.EarlierUntil = o.earlierUntil
	// No worker has answered in this term yet, so that nothing is started before the
	// drains are known.
	o.stepLocked(ev)
	o.mu.Unlock()
	o.inst.passDrains(o)
}

// storedState is what the store holds at a takeover.
type storedState struct {
	// jobs holds a page for each of topicsJobs, nil for those that can't be read.
	jobs     []*external.Page
	progress []external.Page
	workers  external.Page
}

// loadState fences the previous owner and reads the stored state. It does without those
// of topicsJobs that the store does not serve.
func (o *owner) loadState() (offsets resumeOffsets, ev cell.Loaded, err error) {
	if err := o.progress.fence(o.ctx); err != nil {
		return offsets, ev, err
	}
	ctx, cancel := withStallLimit(o.ctx, readWait+readTimeout, readTimeout, nil)
	defer cancel()
	jobs := o.readJobTopics(ctx)
	state := storedState{progress: make([]external.Page, len(topicsProgress))}
	g, ctx := errgroup.WithContext(ctx)
	read := func(t external.Topic, into *external.Page) {
		g.Go(func() (err error) {
			*into, err = o.inst.store.Newest(ctx, t)
			return err
		})
	}
	for n, t := range topicsProgress {
		read(t, &state.progress[n])
	}
	read(o.inst.WorkerTopic, &state.workers)
	if err := g.Wait(); err != nil {
		return offsets, ev, err
	}
	if state.jobs, err = jobs.wait(); err != nil {
		return offsets, ev, err
	}
	offsets.workers = state.workers.End
	o.unreadTopics = 0
	for n, p := range state.jobs {
		if p == nil {
			o.unreadTopics = o.unreadTopics.with(n)
			offsets.jobs = append(offsets.jobs, unread)
			continue
		}
		offsets.jobs = append(offsets.jobs, p.End)
	}
	return offsets, o.decodeState(state), nil
}

func (o *owner) decodeState(state storedState) cell.Loaded {
	ev := cell.Loaded{Progress: make(map[job.ID]job.Progress), Incomplete: o.unreadTopics != 0}
	for n, p := range state.jobs {
		if p != nil {
			jobs, cancels := o.decodeJobs(n, *p)
			ev.Jobs, ev.Cancels = append(ev.Jobs, jobs...), append(ev.Cancels, cancels...)
		}
	}
	o.decodeProgress(state.progress, &ev)
	o.decodeWorkers(state.workers, &ev)
	sortBySubmission(ev.Jobs)
	return ev
}

func (o *owner) logInvalidRecord(t external.Topic, r external.Record, err error) {
	evRecordInvalid.Log(o.ctx, o.inst.logger, slog.String("topic", string(t)), slog.String("key", r.Key), slog.Any("error", err))
}

// decodeJobs decodes the records of topicsJobs[n].
func (o *owner) decodeJobs(n int, p external.Page) (jobs []job.Job, cancels []job.ID) {
	for _, r := range p.Records {
		rec, err := decodeJobRecord(r)
		if err != nil {
			o.logInvalidRecord(topicsJobs[n], r, err)
			continue
		}
		o.recordJobTopic(n, rec)
		switch {
		case rec.submitted != nil:
			jobs = append(jobs, *rec.submitted)
		case rec.cancelled != "":
			cancels = append(cancels, rec.cancelled)
		}
	}
	return jobs, cancels
}

// decodeProgress uses the newest record of each key over all topics.
func (o *owner) decodeProgress(pages []external.Page, ev *cell.Loaded) {
	newest := make(map[job.ID]recordVersion)
	var roster rosterRecord
	for n, p := range pages {
		parts := partsOf(p)
		for _, r := range p.Records {
			if len(r.Value) == 0 || r.Key == keyFence {
				continue
			}
			o.progress.writers[n].keys[r.Key] = true
			var err error
			switch {
			case strings.HasPrefix(r.Key, keyPart):
			case r.Key == keyRoster:
				err = roster.replaceIfNewer(r, parts)
			default:
				err = decodeJobProgress(r, parts, newest, ev)
			}
			if err != nil {
				o.logInvalidRecord(topicsProgress[n], r, err)
			}
		}
	}
	ev.Roster = roster.Workers
}

// recordParts holds the further records of items in one topic, by key.
type recordParts map[string]external.Record

func partsOf(p external.Page) recordParts {
	out := make(recordParts)
	for _, r := range p.Records {
		if strings.HasPrefix(r.Key, keyPart) && len(r.Value) > 0 {
			out[r.Key] = r
		}
	}
	return out
}

// decodeParts decodes the further records of an item, and passes each to add. All records of an item
// are written by the same append, so that those in a topic have the same version.
func decodeParts[T any](parts recordParts, key string, count int, v recordVersion, versionOf func(T) recordVersion, add func(T)) error {
	for n := 1; n <= count; n++ {
		r, ok := parts[partKey(key, n)]
		if !ok {
			return eris.Wrapf(errInvalidRecord, "part %d is missing", n)
		}
		var part T
		if err := decodeRecord(r.Value, &part); err != nil {
			return err
		}
		if versionOf(part) != v {
			return eris.Wrapf(errInvalidRecord, "part %d is of another version", n)
		}
		add(part)
	}
	return nil
}

// replaceIfNewer replaces the list by that of a record if the record is newer.
func (roster *rosterRecord) replaceIfNewer(r external.Record, parts recordParts) error {
	var rec rosterRecord
	if err := decodeRecord(r.Value, &rec); err != nil {
		return err
	}
	if rec.Version.compare(roster.Version) <= 0 {
		return nil
	}
	add := func(part rosterRecord) { rec.Workers = append(rec.Workers, part.Workers...) }
	if err := decodeParts(parts, r.Key, rec.Parts, rec.Version, func(p rosterRecord) recordVersion { return p.Version }, add); err != nil {
		return err
	}
	*roster = rec
	return nil
}

// decodeJobProgress uses a record of a job's progress if it is newer than those read before.
func decodeJobProgress(r external.Record, parts recordParts, newest map[job.ID]recordVersion, ev *cell.Loaded) error {
	var rec progressRecord
	if err := decodeRecord(r.Value, &rec); err != nil {
		return err
	}
	id := job.ID(r.Key)
	if rec.Version.compare(newest[id]) <= 0 {
		return nil
	}
	add := func(part progressRecord) { recordset.Merge(&rec.Progress, part.Progress) }
	if err := decodeParts(parts, r.Key, rec.Parts, rec.Version, func(p progressRecord) recordVersion { return p.Version }, add); err != nil {
		return err
	}
	newest[id], ev.Progress[id] = rec.Version, rec.Progress
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
