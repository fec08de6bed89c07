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
	settings  Settings
	term      int64
	now       Instant
	startedAt time.Duration
	policy    *job.Policy
	jobs      map[job.ID]*entry
	// openJobs holds the jobs that have not ended, in the order of their arrival.
	openJobs []*entry
	workers  map[external.WorkerID]*worker
	// fleet holds the workers in the order of their names.
	fleet []*worker
	// failuresByPool holds what is known of failures, by pool.
	failuresByPool map[string]*retry.Pool
	// contactWindow bounds the first questions to workers.
	contactWindow contact.Window
	// resendsLeft is how many calls may still be made again at the present tick.
	resendsLeft int
	// nextContact is the worker to begin with when new ones are asked again.
	nextContact external.WorkerID
	actions     []Action
	// lastHold numbers holds.
	lastHold int64
	// batchInFlight is the number of the Persist under way, 0 for none.
	batchInFlight int64
	lastBatch     int64
	batchJobs     []*entry
	batchEnds     map[*worker]endPosition
	// batchRoster are the workers on the roster under way.
	batchRoster []*worker
	rosterDirty bool
	dirtyJobs   []*entry
	endedJobs   []*entry
	// nextPersist is when the next batch may be sent.
	nextPersist time.Duration
	// cancels holds cancellations of jobs that have not been seen yet.
	cancels map[job.ID]bool
	// termConfirmedAt is when no later term existed for certain.
	termConfirmedAt time.Duration
	// previousLeasesEnd is when a worker that has not answered since the take-over
	// can't run anything of the term before.
	previousLeasesEnd time.Duration
	// partialGangsStopped says that everything of the term before has been found.
	partialGangsStopped bool
	// placementDue says that placement may find something new to do.
	placementDue bool
	// adviceInFlight says that a question to the adviser is open.
	adviceInFlight bool
	// nextStragglerCheck is when runs are compared next.
	nextStragglerCheck time.Duration
	// nextPlacement is when the next pass of placement may be made.
	nextPlacement time.Duration
	// nextPeriodicPlacement bounds how often time alone causes a pass of placement.
	nextPeriodicPlacement time.Duration
	// nextHeldReport bounds how often it is reported that inherited jobs wait.
	nextHeldReport time.Duration
	// nextGuaranteeCheck is when the guarantees are looked at next, shortSince since when
	// the workers are too few for them, shortTold whether that was raised.
	nextGuaranteeCheck time.Duration
	shortageSince      time.Duration
	shortageReported   bool
}

// New makes a cell for a term.
func New(s Settings, term int64, p *job.Policy, now Instant) *Core {
	c := &Core{
		settings: s, term: term, policy: p, now: now, startedAt: now.Mono,
		jobs:            make(map[job.ID]*entry),
		workers:         make(map[external.WorkerID]*worker),
		cancels:         make(map[job.ID]bool),
		termConfirmedAt: now.Mono,
		contactWindow:   contact.New(), failuresByPool: make(map[string]*retry.Pool),
	}
	c.previousLeasesEnd = now.Mono + s.Overhang + time.Duration(float64(s.Lease)*clockSlack) + leaseMargin
	return c
}

// Step takes an event in and gives what is to be done.
func (c *Core) Step(now Instant, ev Event) []Action {
	c.now = now
	c.actions = nil
	c.handle(ev)
	c.openDue()
	c.place()
	c.sendHolds()
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
		c.placementDue = true
	case StartAnswered:
		c.startAnswered(e)
	case StopAnswered:
		c.stopAnswered(e)
	case HoldAnswered:
		c.holdAnswered(e)
	case Persisted:
		c.persisted(e)
	case Advised:
		c.advised(e)
	case TermConfirmed:
		c.termConfirmedAt = max(c.termConfirmedAt, e.At)
		c.placementDue = true
	case Tick:
		c.tick()
	}
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

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

// removeWorker forgets a worker without runs.
func (c *Core) removeWorker(w *worker) {
	delete(c.workers, w.ID)
	c.rosterDirty = true
	c.fleet = slices.DeleteFunc(c.fleet, func(o *worker) bool { return o == w })
}
