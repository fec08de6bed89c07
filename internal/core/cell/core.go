package cell

import (
	"slices"
	"strings"
	"time"

	"coltsfootmux/internal/core/contact"
	"coltsfootmux/internal/core/retry"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// Core is the state of a cell under one term.
type Core struct {
	settings Settings
	term     int64
	now      Instant
	started  time.Duration
	policy   *job.Policy
	jobs     map[job.ID]*jobEntry
	// open holds the jobs that have not ended, in the order of their arrival.
	open    []*jobEntry
	workers map[external.WorkerID]*worker
	// fleet holds the workers in the order of their names.
	fleet []*worker
	// troubles holds what is known of failures, by pool.
	troubles map[string]*retry.Pool
	// contact bounds the first questions to workers.
	contact contact.Window
	// repeatsLeft is how many calls may still be made again at the present tick.
	repeatsLeft int
	// holdFirst is the worker to begin with when new ones are asked again.
	holdFirst external.WorkerID
	actions   []Action
	// issued numbers holds.
	issued int64
	// batch is the number of the Persist under way, 0 for none.
	batch     int64
	batches   int64
	batchJobs []*jobEntry
	batchAcks map[*worker]ackMark
	// batchRoster are the workers on the roster under way.
	batchRoster []*worker
	rosterDirty bool
	dirty       []*jobEntry
	ended       []*jobEntry
	// nextPersist is when the next batch may be sent.
	nextPersist time.Duration
	// cancels holds cancellations of jobs that have not been seen yet.
	cancels map[job.ID]bool
	// proven is when no later term existed for certain.
	proven time.Duration
	// silentUntil is when a worker that has not answered since the take-over
	// can't run anything of the term before.
	silentUntil time.Duration
	// sweptBefore says that everything of the term before has been found.
	sweptBefore bool
	// changed says that placement may find something new to do.
	changed bool
	// advising says that a question to the adviser is open.
	advising bool
	// nextStragglers is when runs are compared next.
	nextStragglers time.Duration
	// nextPlace is when the next pass of placement may be made.
	nextPlace time.Duration
	// nextPass bounds how often time alone causes a pass of placement.
	nextPass time.Duration
	// nextHeldNote bounds how often it is reported that inherited jobs wait.
	nextHeldNote time.Duration
	// nextAlarm is when the guarantees are looked at next, shortSince since when
	// the workers are too few for them, shortTold whether that was raised.
	nextAlarm  time.Duration
	shortSince time.Duration
	shortTold  bool
}

// New makes a cell for a term.
func New(s Settings, term int64, p *job.Policy, now Instant) *Core {
	c := &Core{
		settings: s, term: term, policy: p, now: now, started: now.Mono,
		jobs:    make(map[job.ID]*jobEntry),
		workers: make(map[external.WorkerID]*worker),
		cancels: make(map[job.ID]bool),
		proven:  now.Mono,
		contact: contact.New(), troubles: make(map[string]*retry.Pool),
	}
	c.silentUntil = now.Mono + s.PreviousOwnerGrace + time.Duration(float64(s.Lease)*clockSlack) + leaseMargin
	return c
}

// Step takes an event in and gives what is to be done.
func (c *Core) Step(now Instant, ev Event) []Action {
	c.now = now
	c.actions = nil
	c.handle(ev)
	c.openDueOccurrences()
	c.place()
	c.hold()
	c.persist()
	return c.actions
}

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case Loaded:
		c.load(e)
	case Submitted:
		c.submit(&e.Job)
	case CancelRequested:
		c.cancel(e.ID)
	case WorkerChanged:
		c.workerChanged(e.Worker)
	case WorkerUnlisted:
		c.workerUnlisted(e.ID)
	case PolicyChanged:
		c.policy = e.Policy
		c.changed = true
	case Started:
		c.startAnswered(e)
	case Stopped:
		c.stopAnswered(e)
	case Listed:
		c.listed(e)
	case Committed:
		c.committed(e)
	case AdviceAnswered:
		c.adviceAnswered(e)
	case TermProven:
		c.proven = max(c.proven, e.At)
		c.changed = true
	case Tick:
		c.tick()
	}
}

func (c *Core) act(a Action) { c.actions = append(c.actions, a) }

// addWorker makes a worker known, in the order of names.
func (c *Core) addWorker(w external.Worker) *worker {
	n := newWorker(w)
	c.workers[w.ID] = n
	c.fleet = slices.Insert(c.fleet, c.fleetIndex(w.ID), n)
	c.rosterDirty = true
	return n
}

// fleetIndex gives where a worker stands in the fleet, or would stand.
func (c *Core) fleetIndex(id external.WorkerID) int {
	at, _ := slices.BinarySearchFunc(c.fleet, id, func(o *worker, id external.WorkerID) int {
		return strings.Compare(string(o.ID), string(id))
	})
	return at
}

// dropWorker forgets a worker without runs.
func (c *Core) dropWorker(w *worker) {
	delete(c.workers, w.ID)
	c.rosterDirty = true
	c.fleet = slices.DeleteFunc(c.fleet, func(o *worker) bool { return o == w })
}
