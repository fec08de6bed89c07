package instance

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// owner owns the cell for one term.
type owner struct {
	inst   *Instance
	term   int64
	ctx    context.Context
	cancel context.CancelFunc

	mu   sync.Mutex
	core *cell.Core
	// jobsRead is when each topic of submissions was last read to its end.
	jobsRead []time.Duration
	// readTo is the offset up to which each topic of submissions was read.
	readTo []int64
	// where has the topics of submissions that hold a job's records.
	where    map[job.ID]topicSet
	progress *progressWriter
	// stepped is the boot time of the last step.
	stepped atomic.Int64
}

func newOwner(i *Instance, t int64) *owner {
	o := &owner{
		inst: i, term: t,
		jobsRead: make([]time.Duration, len(topicsJobs)), readTo: make([]int64, len(topicsJobs)), where: make(map[job.ID]topicSet),
		progress: newProgressWriter(i.log, i.store.available, t),
	}
	o.stepped.Store(int64(boottime()))
	o.ctx, o.cancel = context.WithCancel(i.ctx)
	return o
}

// end stops everything that the owner does; what runs keeps its leases.
func (o *owner) end() { o.cancel() }

// run takes the cell over and then follows submissions and workers.
func (o *owner) run(context.Context) {
	from, ok := o.takeOver()
	if !ok {
		return
	}
	var wg sync.WaitGroup
	wg.Go(o.keepUp)
	for n := range topicsJobs {
		wg.Go(func() { o.followJobs(n, from.jobs[n]) })
	}
	wg.Go(func() { o.followWorkers(from.workers) })
	wg.Wait()
}

// step passes an event to the core and carries its actions out. After a pause
// of the whole process the term is checked first.
func (o *owner) step(ev cell.Event) {
	if now := int64(boottime()); time.Duration(now-o.stepped.Swap(now)) > pauseThreshold {
		o.inst.stepTerm(term.Tick{})
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core == nil || o.ctx.Err() != nil {
		return
	}
	for _, a := range o.core.Step(instant(), ev) {
		o.do(a)
	}
}

func (o *owner) tick() { o.step(cell.Tick{}) }

// followJobs follows the submissions and cancellations of topic number n.
func (o *owner) followJobs(n int, from int64) {
	o.mu.Lock()
	o.readTo[n] = from
	o.mu.Unlock()
	r := &topicReader{
		log: o.inst.store, topic: topicsJobs[n], onError: ignoreError,
		onSnapshot: func(p external.Page) { o.jobRecords(n, p.Records, p.End) },
		onPage:     func(p external.Page) { o.jobRecords(n, p.Records, p.Next) },
	}
	r.run(o.ctx, from)
}

// jobRecords takes in what topic number n has up to an offset.
func (o *owner) jobRecords(n int, rs []external.Record, to int64) {
	for _, r := range rs {
		o.takeJobRecord(n, r)
	}
	o.mu.Lock()
	o.jobsRead[n], o.readTo[n] = boottime(), to
	o.mu.Unlock()
}

func (o *owner) takeJobRecord(n int, r external.Record) {
	rec, err := readJobRecord(r)
	if err != nil {
		evRecordInvalid.Log(o.ctx, o.inst.logger, slog.String("topic", string(topicsJobs[n])), slog.String("key", r.Key), slog.Any("error", err))
		return
	}
	o.foundIn(n, rec)
	switch {
	case rec.submitted != nil:
		evSubmitted.Log(o.ctx, o.inst.logger, slog.String("job", string(rec.submitted.ID)),
			slog.String("topic", string(topicsJobs[n])), slog.Int64("offset", r.Offset))
		o.step(cell.Submitted{Job: *rec.submitted})
	case rec.cancelled != "":
		o.step(cell.CancelRequested{ID: rec.cancelled})
	}
}

// foundIn notes that topic number n holds a record of a job.
func (o *owner) foundIn(n int, rec jobRecord) {
	if id, ok := rec.id(); ok {
		o.mu.Lock()
		o.where[id] = o.where[id].with(n)
		o.mu.Unlock()
	}
}

func (o *owner) followWorkers(from int64) {
	r := &topicReader{
		log: o.inst.store, topic: o.inst.WorkerTopic, minInterval: workersReadInterval,
		onSnapshot: o.workersReset, onPage: o.workerRecords, onError: ignoreError,
	}
	r.run(o.ctx, from)
}

// workersReset takes in the whole list anew; who is not on it has left it.
func (o *owner) workersReset(p external.Page) {
	listed := make(map[external.WorkerID]bool)
	for _, r := range p.Records {
		listed[external.WorkerID(r.Key)] = true
	}
	o.workerRecords(p)
	o.mu.Lock()
	var gone []external.WorkerID
	if o.core != nil {
		for _, id := range o.core.Listed() {
			if !listed[id] {
				gone = append(gone, id)
			}
		}
	}
	o.mu.Unlock()
	for _, id := range gone {
		o.step(cell.WorkerUnlisted{ID: id})
	}
}

func (o *owner) workerRecords(p external.Page) {
	for _, r := range newestByKey(p.Records) {
		if len(r.Value) == 0 {
			o.step(cell.WorkerUnlisted{ID: external.WorkerID(r.Key)})
			continue
		}
		w, err := o.inst.DecodeWorker(r)
		if err != nil {
			evWorkerInvalid.Log(o.ctx, o.inst.logger, slog.String("key", r.Key), slog.Any("error", err))
			continue
		}
		o.step(cell.WorkerChanged{Worker: w})
	}
}

// newestByKey keeps the last record of each key, in the order of their offsets.
func newestByKey(rs []external.Record) []external.Record {
	last := make(map[string]int, len(rs))
	for n, r := range rs {
		last[r.Key] = n
	}
	var out []external.Record
	for n, r := range rs {
		if last[r.Key] == n {
			out = append(out, r)
		}
	}
	return out
}

// deposed gives the term up because a worker knows a higher one.
func (o *owner) deposed() {
	o.inst.spawn(func(context.Context) { o.inst.stepTerm(term.HigherTermSeen{}) })
}
