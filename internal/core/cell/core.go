package cell

import (
	"slices"
	"strings"
	"time"

	"coltsfootmux/internal/core/blame"
	"coltsfootmux/internal/core/contact"
	"coltsfootmux/internal/core/predict"
	"coltsfootmux/internal/core/retry"
	"coltsfootmux/internal/core/shed"
	"coltsfootmux/internal/core/startwindow"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// Core is the decision state of a cell during one term of its owner. It is not
// safe for concurrent use.
type Core struct {
	settings  Settings
	term      int64
	now       Instant
	startedAt time.Duration
	policy    *job.Policy
	// drained holds the data centres that operators have drained.
	drained map[string]bool
	jobs    map[job.ID]*jobEntry
	// openJobs holds the jobs that have not ended, in order of arrival.
	openJobs []*jobEntry
	workers  map[external.WorkerID]*worker
	// fleet holds the same workers, sorted by ID.
	fleet []*worker
	// failuresByPool holds the recent early failures of each pool.
	failuresByPool map[string]*retry.Pool
	// crashes is what is known of crashes of workers, crashedAddrs when processes at the
	// workers' addresses crashed last.
	crashes      blame.History
	crashedAddrs map[string]time.Duration
	// runTimesByQueue holds what ended runs tell of the run times of each queue.
	runTimesByQueue map[string]*predict.Queue
	// contactWindow limits how many workers are sent their first hold at the same
	// time.
	contactWindow contact.Window
	// starts limits the starts without an answer, startDelay is for how long it has put off some.
	starts     startwindow.Window
	startDelay shed.Delay
	// resendsLeft is how many unanswered calls the current tick may still resend.
	resendsLeft int
	// nextContact is the first worker that the contact window left out; the next
	// round of holds begins with it. It is empty if none was left out.
	nextContact external.WorkerID
	actions     []Action
	// trace records what is done with one job, in the copy of an Explainer; else nil.
	trace *trace
	// lastHold is the number of the last hold that was sent.
	lastHold int64
	// batchInFlight is the number of the Persist that has not been answered, or 0.
	batchInFlight int64
	// lastBatch is the number of the last Persist.
	lastBatch int64
	// batchJobs, batchEnds and batchRoster are what the batch in flight covers: jobs, the last
	// processed end of each worker, and the workers that its roster allows to be used.
	batchJobs   []*jobEntry
	batchEnds   map[*worker]endPosition
	batchRoster []*worker
	// rosterDirty is set when the roster has changed since the last batch.
	rosterDirty bool
	// dirtyJobs holds the jobs whose progress has changed since the last batch.
	dirtyJobs []*jobEntry
	// used is the cost of all jobs, largeTasks that of the tasks of large ones. openUnits is the
	// number of open tasks and gangs.
	used       int64
	largeTasks int64
	openUnits  int
	// deferredJobs counts the jobs of which due tasks are put off.
	deferredJobs int
	// cellFull is set while AlarmCellFull is raised.
	cellFull bool
	// nextDeferredReport is the earliest time of the next report of tasks that are not opened.
	nextDeferredReport time.Duration
	// endedJobs holds ended jobs until their retention time is over.
	endedJobs []*jobEntry
	// nextPersist is the earliest time of the next batch.
	nextPersist time.Duration
	// missing is nil once all submissions of earlier terms have been read.
	missing *missingJobs
	// cancels holds accepted cancellations of jobs that have not arrived yet.
	cancels map[job.ID]bool
	// termConfirmedAt is the latest time for which it is known that no later term existed.
	termConfirmedAt time.Duration
	// fenced is set once a worker has named a higher term.
	fenced bool
	// previousLeasesEnd is when all leases of the previous term have expired. A
	// worker that has not answered by then runs nothing of that term.
	previousLeasesEnd time.Duration
	// partialGangsStopped is set once all runs of the previous term are known and
	// the gangs that it started only in part have been stopped.
	partialGangsStopped bool
	// placementDue is set when something has changed that a placement pass may act on.
	placementDue bool
	// adviceInFlight counts the Advise that have not been answered, lastAdviceAt is the time of
	// the last one.
	adviceInFlight int
	lastAdviceAt   time.Duration
	// nextStragglerCheck is when runs are next compared with each other.
	nextStragglerCheck time.Duration
	// nextPlacement is the earliest time of the next placement pass.
	nextPlacement time.Duration
	// nextPeriodicPlacement is when a placement pass is made even if nothing changed.
	nextPeriodicPlacement time.Duration
	// nextHeldReport is the earliest time of the next report that inherited jobs wait.
	nextHeldReport time.Duration
	// nextGuaranteeCheck is when the accounts' guarantees are next compared with the
	// workers' capacity. shortageSince is when the capacity fell short, or 0;
	// shortageReported is set once an alarm was raised about it.
	nextGuaranteeCheck time.Duration
	shortageSince      time.Duration
	shortageReported   bool
	reach              reachState
	// passes is the number of placement passes, examined how often they have looked at a worker.
	passes   int64
	examined int64
	// lag is how late the process runs its own work, as of the last tick.
	lag time.Duration
	// nextStandLook is when jobs that stand are next looked for.
	nextStandLook time.Duration
	// disturbedAt is when a worker last failed, came back or began to leave, or the term began.
	disturbedAt time.Duration
	// claimedPools holds the pools in which gangs claimed room in the last pass.
	claimedPools map[string]bool
	// shares is what is known of the accounts' shares of the workers.
	shares accountShares
	// speeds is what is known of the workers' speeds.
	speeds speeds
	// interference is what is known of tasks that slow each other down.
	interference interferenceState
}

// New returns the core of a cell for the given term.
func New(s Settings, term int64, p *job.Policy, now Instant) *Core {
	c := &Core{
		settings: s, term: term, policy: p, now: now, startedAt: now.Mono, disturbedAt: now.Mono,
		jobs:            make(map[job.ID]*jobEntry),
		workers:         make(map[external.WorkerID]*worker),
		cancels:         make(map[job.ID]bool),
		termConfirmedAt: now.Mono,
		contactWindow:   contact.New(), crashedAddrs: make(map[string]time.Duration), failuresByPool: make(map[string]*retry.Pool), runTimesByQueue: make(map[string]*predict.Queue),
	}
	c.interference = newInterferenceState(s)
	c.earlierOwnersEnd(0)
	return c
}

// earlierOwnersEnd records until when owners of earlier terms may renew leases.
func (c *Core) earlierOwnersEnd(at time.Duration) {
	last := max(at, c.startedAt+c.settings.PreviousOwnerGrace)
	c.previousLeasesEnd = last + time.Duration(float64(c.settings.Lease)*clockSlack) + leaseMargin
	for _, w := range c.fleet {
		if w.runsKnown {
			w.leaseEnd = c.earlierLeasesEnd(w)
		}
	}
}

// Step processes an event and returns the actions to be carried out, in order.
func (c *Core) Step(now Instant, ev Event) []Action {
	c.now = now
	c.actions = nil
	c.handle(ev)
	c.openDueOccurrences()
	c.place()
	c.sendHolds()
	c.persist()
	return c.actions
}

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case Loaded:
		c.load(e)
	case JobsLoaded:
		c.jobsLoaded(e)
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
	case DrainsChanged:
		c.drainsChanged(e.DataCentres)
	case StartAnswered:
		c.startAnswered(e)
	case StopAnswered:
		c.stopAnswered(e)
	case HoldAnswered:
		c.holdAnswered(e)
	case Persisted:
		c.persisted(e)
	case AdviceAnswered:
		c.adviceAnswered(e)
	case TermConfirmed:
		c.termConfirmedAt = max(c.termConfirmedAt, e.At)
		c.placementDue = true
	case EarlierOwnersEnd:
		c.earlierOwnersEnd(e.At)
		c.placementDue = true
	case Tick:
		c.lag = e.Lag
		c.tick()
	}
}

// emit adds an action to the result of the current step.
func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// addWorker adds a worker to the fleet, which stays sorted.
func (c *Core) addWorker(w external.Worker) *worker {
	n := newWorker(w)
	n.placeDrained = c.drained[w.Zone]
	c.workers[w.ID] = n
	c.fleet = slices.Insert(c.fleet, c.fleetIndex(w.ID), n)
	c.rosterDirty = true
	return n
}

// fleetIndex returns the index of a worker in the fleet, or the one at which it
// would be inserted.
func (c *Core) fleetIndex(id external.WorkerID) int {
	at, _ := slices.BinarySearchFunc(c.fleet, id, func(o *worker, id external.WorkerID) int {
		return strings.Compare(string(o.ID), string(id))
	})
	return at
}

// removeWorker removes a worker that has no runs.
func (c *Core) removeWorker(w *worker) {
	delete(c.workers, w.ID)
	c.rosterDirty = true
	c.fleet = slices.DeleteFunc(c.fleet, func(o *worker) bool { return o == w })
}
