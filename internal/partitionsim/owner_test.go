package partitionsim

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/fitness"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/job"
)

// owner runs the cell for one term at one instance.
type owner struct {
	inst  *instance
	term  int64
	core  *cell.Core
	over  bool
	ended func() bool
	// confirmedAt is the latest time as of which the term is confirmed.
	confirmedAt time.Duration
	// earlierUntil is until when owners of earlier terms may renew leases.
	earlierUntil time.Duration
	// takenOver is when the core began.
	takenOver time.Duration
	// fitness is the owner's judgement of itself, nextReachCheck the time of its next look at the
	// workers that it reaches.
	fitness        *fitness.Core
	nextReachCheck time.Duration
	// lastStep is the time of the last step.
	lastStep time.Duration
	// jobsNext and workersNext are the offsets from which the owner reads on.
	jobsNext, workersNext int64
}

const (
	// pauseThreshold is a time without any step after which the process must have been
	// paused.
	pauseThreshold      = 500 * time.Millisecond
	takeOverRetryDelay  = 300 * time.Millisecond
	workersReadInterval = 250 * time.Millisecond
	persistRetryDelay   = 150 * time.Millisecond
)

// newOwner returns the owner of a term.
func newOwner(i *instance, g term.Gained) *owner {
	o := &owner{inst: i, term: g.Term, confirmedAt: g.At, earlierUntil: g.EarlierUntil, lastStep: i.clock()}
	o.fitness = fitness.New(i.clock(), i.term.LatestRecord().Handovers)
	died := i.endedFunc()
	o.ended = func() bool { return o.over || died() }
	return o
}

// end stops all that the owner does; runs on workers keep their leases.
func (o *owner) end() { o.over = true }

// takeOver fences the previous owner and reads the stored state, until it succeeds.
func (o *owner) takeOver() {
	if o.ended() {
		return
	}
	result := batchStored
	execute := func(reply func()) {
		result = o.inst.sim.writeProgress(o.term, cell.Persist{})
		reply()
	}
	o.inst.callStore(o.inst.sim.appendTimeout(), execute, func(r callResult) {
		if r != callAnswered || result == batchFenced {
			o.inst.deliver(takeOverRetryDelay, o.takeOver)
			return
		}
		o.loadState()
	})
}

// loadState reads the stored state, each part by a call of its own.
func (o *owner) loadState() {
	s, st := o.inst.sim, &o.inst.sim.store
	ev := cell.Loaded{Progress: make(map[job.ID]job.Progress)}
	parts := []func(){
		func() { ev.Jobs, ev.Cancels = decodeJobs(st.jobs.records); o.jobsNext = st.jobs.end() },
		func() {
			for _, j := range s.submitted {
				if p, ok := st.progress[j.ID]; ok {
					ev.Progress[j.ID] = p
				}
			}
			ev.Roster = slices.Clone(st.roster)
		},
		func() { ev.Workers = st.listedWorkers(); o.workersNext = st.workers.end() },
	}
	pending, failed := len(parts), false
	for _, read := range parts {
		execute := func(reply func()) { read(); reply() }
		o.inst.callStore(readWait+readTimeout, execute, func(r callResult) {
			failed = failed || r != callAnswered
			if pending--; pending > 0 || o.ended() {
				return
			}
			if failed {
				o.inst.deliver(takeOverRetryDelay, o.takeOver)
				return
			}
			o.begin(ev)
		})
	}
}

// decodeJobs returns the jobs and cancellations of the records.
func decodeJobs(records []any) (jobs []job.Job, cancels []job.ID) {
	for _, r := range records {
		rec := r.(jobRecord)
		if rec.submitted != nil {
			jobs = append(jobs, *rec.submitted)
			continue
		}
		cancels = append(cancels, rec.cancelled)
	}
	return jobs, cancels
}

// begin creates the cell's core and follows submissions and workers from then on.
func (o *owner) begin(ev cell.Loaded) {
	i := o.inst
	o.core = newCell(i, o.term)
	o.takenOver = i.clock()
	o.allowForEarlierOwners(o.earlierUntil)
	i.sim.tracef("%s has taken over with term %d: %d jobs, %d workers listed, %d on the roster", i.name(), o.term, len(ev.Jobs), len(ev.Workers), len(ev.Roster))
	ev.TermConfirmedAt, ev.EarlierUntil = o.confirmedAt, o.earlierUntil
	o.step(ev)
	o.follow(&reader{topic: &i.sim.store.jobs, next: o.jobsNext, onPage: o.handleJobs})
	o.follow(&reader{topic: &i.sim.store.workers, next: o.workersNext, minInterval: workersReadInterval, onPage: o.handleWorkers})
}

func newCell(i *instance, t int64) *cell.Core {
	return cell.New(cellSettings(), t, i.sim.policy, i.instant())
}

// endEarlierOwners passes on that owners of earlier terms renew leases no longer than until a time.
func (o *owner) endEarlierOwners(at time.Duration) {
	o.earlierUntil = at
	if o.core == nil || o.ended() {
		return
	}
	o.allowForEarlierOwners(at)
	o.step(cell.EarlierOwnersEnd{At: at})
}

// allowForEarlierOwners records until when this owner expects earlier ones to renew leases.
func (o *owner) allowForEarlierOwners(at time.Duration) {
	o.inst.sim.renewalsEnd[o.term] = o.inst.trueTime(max(at, o.takenOver+previousOwnerGrace()))
	o.inst.sim.checkTakeover()
}

func (o *owner) follow(r *reader) {
	r.inst, r.ended, r.onError = o.inst, o.ended, func() {}
	o.inst.readers = append(slices.DeleteFunc(o.inst.readers, func(r *reader) bool { return r.ended() }), r)
	r.read(readWait)
}

func (o *owner) handleJobs(records []any, _ int64) {
	for _, r := range records {
		rec := r.(jobRecord)
		if rec.submitted != nil {
			o.step(cell.Submitted{Job: *rec.submitted})
			continue
		}
		o.step(cell.CancelRequested{ID: rec.cancelled})
	}
}

func (o *owner) handleWorkers(records []any, _ int64) {
	for _, r := range records {
		w := r.(workerRecord)
		if w.removed {
			o.step(cell.WorkerUnlisted{ID: w.id})
			continue
		}
		o.step(cell.WorkerChanged{Worker: w.worker})
	}
}

// step passes an event to the core and performs its actions. After a pause of the whole
// process the term is checked first.
func (o *owner) step(ev cell.Event) {
	o.checkTermAfterPause()
	if o.core == nil || o.ended() {
		return
	}
	for _, a := range o.core.Step(o.inst.instant(), ev) {
		o.perform(a)
	}
}

// checkTermAfterPause ends the owner if the process was paused for so long that the term is over.
func (o *owner) checkTermAfterPause() {
	now := o.inst.clock()
	paused := now-o.lastStep > pauseThreshold
	o.lastStep = now
	if paused && !o.ended() {
		o.inst.stepTerm(term.Tick{})
	}
}

// confirmTerm passes on that the term is confirmed as of a time.
func (o *owner) confirmTerm(at time.Duration) {
	if at > o.confirmedAt && !o.ended() {
		o.confirmedAt = at
		o.inst.sim.checkMayStart(o)
	}
	o.step(cell.TermConfirmed{At: at})
}

// giveUpTerm gives up the term, as a worker or the store knows a higher one.
func (o *owner) giveUpTerm() {
	o.inst.deliver(0, func() { o.inst.stepTerm(term.HigherTermSeen{}) })
}

// persist writes progress until the store confirms it or refuses the term.
func (o *owner) persist(a cell.Persist) {
	if o.ended() {
		return
	}
	result := batchStored
	execute := func(reply func()) {
		result = o.inst.sim.writeProgress(o.term, a)
		reply()
	}
	o.inst.callStore(o.inst.sim.appendTimeout(), execute, func(r callResult) {
		switch {
		case r != callAnswered:
			o.inst.deliver(persistRetryDelay, func() { o.persist(a) })
		case result == batchFenced:
			o.giveUpTerm()
		default:
			o.step(cell.Persisted{Batch: a.Batch})
		}
	})
}
