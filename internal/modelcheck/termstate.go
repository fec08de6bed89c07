package modelcheck

// The size of the term specification: two instances that compete for one cell, two
// workers, and one task that must run once.
const (
	instances   = 2
	termWorkers = 2
	noWorker    = termWorkers
)

// The times of the term specification, in ticks.
const (
	// renewalStaleTicks is the age of a renewal from which on other instances claim
	// the term.
	renewalStaleTicks = 2
	// startGraceTicks is the maximum age of a confirmation with which an owner
	// starts tasks.
	startGraceTicks = 1
	// ownerGraceTicks is the maximum age of a confirmation with which an owner
	// renews leases.
	ownerGraceTicks = 3
	leaseTicks      = 2
	// silentWorkerTicks is how long a new owner waits for a worker that does not
	// answer, if no earlier owner may renew leases for longer than usual.
	silentWorkerTicks = ownerGraceTicks - renewalStaleTicks + leaseTicks + 1
	maxAge            = silentWorkerTicks + 1
)

// taskView is the state of the task as an owner knows it.
type taskView uint8

const (
	taskWaiting taskView = iota
	// taskStartSent means that a start was sent to a worker; it may have arrived or
	// may still arrive.
	taskStartSent
	// taskRunning means that a worker lists the task as running.
	taskRunning
	// taskEnded means that the task is known to have ended.
	taskEnded
)

// instanceState is the state of one instance.
type instanceState struct {
	// term is the term that the instance believes to own; 0 for none.
	term uint8
	// confirmationAge is the age of the last confirmation of its term, and silentLeft
	// how long it still waits for workers that do not answer.
	confirmationAge uint8
	silentLeft      uint8
	// answeredWorkers is a bit set of the workers that have answered a hold of this
	// term.
	answeredWorkers uint8
	task            taskView
	taskWorker      uint8
	// startBarred says that the start that was sent has been barred at its worker.
	startBarred bool
	// outdatedAge is the time since a later term was claimed, and keeping what the
	// instance knows as an owner that keeps its term without the store.
	outdatedAge uint8
	keeping     keepingView
}

// workerState is the state of one worker.
type workerState struct {
	knownTerm uint8
	// runTerm is the term under which the task was started here; 0 if it does not
	// run.
	runTerm   uint8
	leaseLeft uint8
	// endListed says that the worker lists the task's end. expiredSinceEnd says that
	// its lease has expired since then; a start elsewhere is allowed from then on.
	endListed       bool
	expiredSinceEnd bool
	barredTerm      uint8
	partitioned     bool
}

// TermState is a state of the term specification.
type TermState struct {
	instance [instances]instanceState
	worker   [termWorkers]workerState
	// term is the latest term in the store, owner its owner, and renewalAge the
	// time since its last renewal.
	term       uint8
	owner      uint8
	renewalAge uint8
	// startTerm and startWorker are the term and worker of the start in flight, and
	// startLeaseLeft the ticks until the lease that it carries ends; startTerm is 0
	// for none.
	startTerm      uint8
	startWorker    uint8
	startLeaseLeft uint8
	// endRecorded says that the task's end is durable, endAcknowledged that it was
	// acknowledged to a worker.
	endRecorded     bool
	endAcknowledged bool
	restarts        uint8
	partitions      uint8
	keeping         keepingState
	// ranTwice and restartedAfterEnd record violations.
	ranTwice          bool
	restartedAfterEnd bool
}
