package instance

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootmux/internal/core/budget"
	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/fitness"
	"coltsfootmux/internal/core/shed"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// owner runs the cell for one term.
type owner struct {
	inst   *Instance
	term   int64
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// earlierUntil is the boot time until which owners of earlier terms may renew leases.
	earlierUntil time.Duration
	core         *cell.Core
	// jobsReadAt is the boot time at which each of topicsJobs was last read to its end.
	jobsReadAt []time.Duration
	// jobsReadTo is the offset up to which each of topicsJobs has been read.
	jobsReadTo []int64
	// unreadTopics are those of topicsJobs that have not been read since the term was gained.
	unreadTopics topicSet
	// jobTopics says which of topicsJobs hold records of a job.
	jobTopics map[job.ID]topicSet
	progress  *progressWriter
	// reserved is the memory granted for jobs that have not been read.
	reserved budget.Reservations
	// lateMu keeps the events of topics that are read late in order.
	lateMu sync.Mutex
	// lastStep is the boot time of the last step, in ns.
	lastStep atomic.Int64
	// confirmedAt is the latest boot time as of which the term is confirmed, in ns. fenced is set
	// once a worker has named a higher term. Orders read them while the core decides.
	confirmedAt atomic.Int64
	fenced      atomic.Bool
	// reach is used by the instance's ticks alone.
	reach reachReport
	// fitness is the owner's judgement of itself.
	fitnessMu sync.Mutex
	fitness   *fitness.Core
	// shed decides how much new work is refused; the instance's ticks alone use it. refusedLevel is its
	// latest decision.
	shed         *shed.Controller
	refusedLevel atomic.Int64
	// work counts what the owner spends its time on.
	work ownerWork
	// waitingChecks is the number of checks by witnesses that wait for mu.
	waitingChecks atomic.Int32
}

// newOwner returns the owner of a term.
func newOwner(i *Instance, g term.Gained) *owner {
	o := &owner{
		inst: i, term: g.Term, earlierUntil: g.EarlierUntil,
		jobsReadAt: make([]time.Duration, len(topicsJobs)), jobsReadTo: make([]int64, len(topicsJobs)), jobTopics: make(map[job.ID]topicSet),
		progress: newProgressWriter(i.store, i.storeMonitor.available, g.Term),
	}
	o.confirmedAt.Store(int64(g.At))
	o.lastStep.Store(int64(boottime()))
	before := i.term.LatestRecord().Refused
	o.shed = shed.NewController(boottime(), before)
	o.refusedLevel.Store(int64(before))
	o.fitness = fitness.New(boottime(), i.term.LatestRecord().Handovers)
	o.ctx, o.cancel = context.WithCancel(i.ctx)
	return o
}

// end stops all that the owner does; runs on workers keep their leases.
func (o *owner) end() { o.cancel() }

// run takes over the cell and then follows submissions and workers.
func (o *owner) run(context.Context) {
	from, ok := o.takeOver()
	if !ok {
		return
	}
	var wg sync.WaitGroup
	wg.Go(o.runUpkeep)
	for n := range topicsJobs {
		wg.Go(func() { o.followJobs(n, from.jobs[n]) })
	}
	wg.Go(func() { o.followWorkers(from.workers) })
	wg.Wait()
}

// step passes an event to the core and performs its actions. After a pause of the whole
// process the term is checked first.
func (o *owner) step(ev cell.Event) {
	o.checkTermAfterPause()
	began := boottime()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.work.lockTime.Add(int64(boottime() - began))
	o.stepLocked(ev)
}

// stepLocked is step for callers that hold o.mu and have checked the term.
func (o *owner) stepLocked(ev cell.Event) {
	if o.core == nil || o.ctx.Err() != nil {
		return
	}
	began, passes := boottime(), o.core.Passes()
	actions := o.core.Step(instant(), ev)
	took, passed := boottime()-began, o.core.Passes() != passes
	o.work.stepped(took, passed)
	if passed {
		o.core.PassTook(took)
	}
	for _, a := range actions {
		o.perform(a)
	}
}

// confirmTerm passes on that the term is confirmed as of a boot time.
func (o *owner) confirmTerm(at time.Duration) {
	for {
		known := o.confirmedAt.Load()
		if int64(at) <= known || o.confirmedAt.CompareAndSwap(known, int64(at)) {
			break
		}
	}
	o.step(cell.TermConfirmed{At: at})
}

// endEarlierOwners passes on that owners of earlier terms renew leases no longer than until a boot time.
func (o *owner) endEarlierOwners(at time.Duration) {
	o.mu.Lock()
	o.earlierUntil = at
	o.mu.Unlock()
	evEarlierOwners.Log(o.ctx, o.inst.logger, slog.Int64("term", o.term), slog.Duration("earlier", max(0, at-boottime())))
	o.step(cell.EarlierOwnersEnd{At: at})
}

// checkTermAfterPause ends the owner if the whole process was paused for so long that the term is
// over. The time of the last step is replaced after the check, so that others that find the pause
// at the same time wait for it.
func (o *owner) checkTermAfterPause() {
	now := boottime()
	if now-time.Duration(o.lastStep.Load()) > pauseThreshold {
		o.inst.stepTerm(term.Tick{})
	}
	o.lastStep.Store(int64(now))
}

// orderContext returns the context of an order to a worker that may take the given time. It has
// ended if the term has. The lag of this process extends the time.
func (o *owner) orderContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	o.checkTermAfterPause()
	return o.inst.lag.limit(o.ctx, timeout)
}

// mayStart reports whether the term was confirmed recently enough for orders that the next
// owner must not give as well.
func (o *owner) mayStart() bool {
	age := boottime() - time.Duration(o.confirmedAt.Load())
	return o.ctx.Err() == nil && !o.fenced.Load() && age <= o.inst.Settings.Cell.StartGrace
}

func (o *owner) tick() {
	o.step(cell.Tick{Lag: o.inst.lag.now()})
	o.adjustShedding()
}

// followJobs follows the submissions and cancellations in topicsJobs[n].
func (o *owner) followJobs(n int, from int64) {
	o.mu.Lock()
	o.jobsReadTo[n] = from
	o.mu.Unlock()
	r := &topicReader{
		store: o.inst.storeMonitor, topic: topicsJobs[n], onError: ignoreError,
		onSnapshot: func(p external.Page) { o.handleJobSnapshot(n, p) },
		onPage:     func(p external.Page) { o.handleJobRecords(n, p.Records, p.Next) },
	}
	r.run(o.ctx, from)
}

// handleJobSnapshot handles the newest records of topicsJobs[n].
func (o *owner) handleJobSnapshot(n int, p external.Page) {
	if o.readLate(n) {
		o.loadLate(n, p)
		return
	}
	o.handleJobRecords(n, p.Records, p.End)
}

// handleJobRecords handles the records of topicsJobs[n] up to offset to.
func (o *owner) handleJobRecords(n int, rs []external.Record, to int64) {
	for _, r := range rs {
		o.handleJobRecord(n, r)
	}
	o.mu.Lock()
	o.jobsReadAt[n], o.jobsReadTo[n] = boottime(), to
	o.mu.Unlock()
}

func (o *owner) handleJobRecord(n int, r external.Record) {
	rec, err := decodeJobRecord(r)
	if err != nil {
		evRecordInvalid.Log(o.ctx, o.inst.logger, slog.String("topic", string(topicsJobs[n])), slog.String("key", r.Key), slog.Any("error", err))
		return
	}
	o.recordJobTopic(n, rec)
	switch {
	case rec.submitted != nil:
		evSubmitted.Log(o.ctx, o.inst.logger, slog.String("job", string(rec.submitted.ID)),
			slog.String("topic", string(topicsJobs[n])), slog.Int64("offset", r.Offset))
		o.step(cell.Submitted{Job: *rec.submitted})
	case rec.cancelled != "":
		o.step(cell.CancelRequested{ID: rec.cancelled})
	}
}

// recordJobTopic records that topicsJobs[n] holds a record of a job.
func (o *owner) recordJobTopic(n int, rec jobRecord) {
	if id, ok := rec.id(); ok {
		o.mu.Lock()
		o.jobTopics[id] = o.jobTopics[id].with(n)
		o.mu.Unlock()
	}
}

func (o *owner) followWorkers(from int64) {
	r := &topicReader{
		store: o.inst.storeMonitor, topic: o.inst.WorkerTopic, minInterval: workersReadInterval,
		onSnapshot: o.handleWorkerSnapshot, onPage: o.handleWorkerRecords, onError: ignoreError,
	}
	r.run(o.ctx, from)
}

// handleWorkerSnapshot handles the whole list of workers; those missing from it have been
// removed.
func (o *owner) handleWorkerSnapshot(p external.Page) {
	listed := make(map[external.WorkerID]bool)
	for _, r := range p.Records {
		listed[external.WorkerID(r.Key)] = true
	}
	o.handleWorkerRecords(p)
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

func (o *owner) handleWorkerRecords(p external.Page) {
	for _, r := range newestByKey(p.Records) {
		if len(r.Value) == 0 {
			o.step(cell.WorkerUnlisted{ID: external.WorkerID(r.Key)})
			continue
		}
		w, err := o.inst.DecodeWorker(r)
		if err != nil {
			evWorkerInvalid.Log(o.ctx, o.inst.logger, slog.String("key", r.Key), slog.Any("error", err))
			o.step(cell.WorkerUnlisted{ID: external.WorkerID(r.Key)})
			continue
		}
		o.step(cell.WorkerChanged{Worker: w})
	}
}

// newestByKey returns the last record of each key, in the order of their offsets.
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

// giveUpTerm gives up the term, for example because a worker or the store knows a higher one.
func (o *owner) giveUpTerm() {
	o.inst.spawn(func(context.Context) { o.inst.stepTerm(term.HigherTermSeen{}) })
}
