package placement

import (
	"time"

	"coltsfootmux/internal/model"
)

// jobState is where a job stands.
type jobState uint8

const (
	jobWaiting jobState = iota
	// jobReclaiming has workers chosen and waits for victims to leave them.
	jobReclaiming
	jobBeginning
	jobRunning
	jobGone
)

// job is a piece of work that the core answers for.
type job struct {
	work    model.Work
	acc     *account
	class   model.Class
	group   model.GroupID
	epoch   model.Epoch
	cells   []model.CellID
	attempt int
	try     int
	// first is the attempt that was submitted, begins counts the Begins since; the
	// two make lease ids that no other attempt of the key uses.
	first  int
	begins int
	seq    uint64

	state    jobState
	queue    *queue
	queuedAt time.Time
	// turn orders it among the waiting jobs of its queue.
	turn time.Time
	// round tells this wait of the job from earlier ones.
	round int

	tasks   []*task
	live    int
	startAt time.Time
	// asked is when its reclaim began.
	asked time.Time

	// claims is set while room is sought inside its account's entitlement.
	claims bool

	cancelled bool
	// evicted says that it was told to leave so that others may start.
	evicted bool
	// stopping says that its members were told to stop, for stopReason.
	stopping   bool
	stopReason model.Reason
	failed     bool
	// left says that a member left before its end because the job was evicted.
	left bool
	// retry says that the failure was the task's own, so another worker may do better.
	retry bool
	// ran says that some attempt of it has run.
	ran bool
	// adopted work was found running; its body is not at hand.
	adopted bool
	// found counts the members found when it was adopted; 0 for work that began here.
	found int
	// moved says that some of its members run in a cell that was lost.
	moved  bool
	badOn  []model.WorkerID
	avoid  model.WorkerID
	drains []*cell
	// largeAlarmed says that operators were told that it is past its bound.
	largeAlarmed bool
}

// firm reports whether the job, once started, can't be taken off again.
func (c *Core) firm(j *job) bool {
	if !j.work.Preemptible || !j.work.Idempotent {
		return true
	}
	return j.attempt >= c.conf.maxAttempts()
}

// task is one member of a job on a worker.
type task struct {
	lease  model.LeaseID
	job    *job
	member int
	worker *worker
	shape  model.Shape
	firm   bool
	over   overuse
}

// elsewhere reports whether members of the job may run in cells of others.
func (j *job) elsewhere() bool {
	return j.moved || (j.found > 0 && j.found < j.work.Members)
}

// leaving reports whether the job was told to give up the room that it holds.
func (j *job) leaving() bool {
	return (j.evicted || j.stopping) && (j.state == jobRunning || j.state == jobBeginning)
}
