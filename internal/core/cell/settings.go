package cell

import "time"

// Settings are the bounds that a cell's decisions keep.
type Settings struct {
	// Lease is for how long a worker runs on without being heard from; workers
	// must grant as much.
	Lease time.Duration
	// StartGrace is how long an owner may start runs after the last proof of its
	// term. It is shorter than the time after which others claim the next one, so
	// that no start of an earlier owner meets a worker that knows no term yet.
	StartGrace time.Duration
	// PreviousOwnerGrace is how long after a take-over the owner before may go on renewing
	// leases.
	PreviousOwnerGrace time.Duration
	// RestoreTime is how long a run that resumes from a checkpoint takes to do so.
	RestoreTime time.Duration
	// RemoteDataFactor is how much longer tasks run away from their data.
	RemoteDataFactor float64
	// ReclaimWithin is the time in which urgent work inside its guarantee must have
	// its room; 0 for no bound.
	ReclaimWithin time.Duration
	// OpenEarly is how much before its due time an occurrence may be opened.
	OpenEarly time.Duration
	// Retention is how long ended jobs can be asked for.
	Retention time.Duration
}

// Figures of the machine itself, that no operator has a reason to change.
const (
	// clockSlack covers a worker's clock that runs up to 2 % slow.
	clockSlack = 1.03
	// leaseMargin is added before a lease counts as lapsed, for timers that
	// fire late.
	leaseMargin = 100 * time.Millisecond
	// maxHoldWait is the longest wait of a hold's answer for an end; a lease is
	// renewed at least this often.
	maxHoldWait = 1800 * time.Millisecond
	// maxUrgentHoldWait is the same where work of priority 0 runs, so that a stalled
	// run is seen soon.
	maxUrgentHoldWait = 900 * time.Millisecond
	// resendAfter is how long a call to a worker may stay without an answer before
	// it is made again: twice two round trips between regions, of 40 ms each.
	resendAfter = 200 * time.Millisecond
	// maxResends bounds how often one order is made again.
	maxResends = 2
	// maxResendsPerTick bounds the calls that are made again at once: an owner that is
	// itself too slow to take answers in would add to its load.
	maxResendsPerTick = 16
	// holdRetryDelay lies between two holds of a worker that does not answer.
	holdRetryDelay = 400 * time.Millisecond
	// maxAckWait is how long a hold waits for the progress of the worker's last
	// ends to be durable, so that it can acknowledge them.
	maxAckWait = 500 * time.Millisecond
	// ackFresh is how long after a worker's answer its ends may be acknowledged;
	// no worker starts anew, runs a task and ends it in this time.
	ackFresh = 150 * time.Millisecond
	// stopRetryDelay lies between two orders to stop the same run.
	stopRetryDelay = 700 * time.Millisecond
	// stopCheckDelay is how long after an acknowledged stop the worker is asked for
	// its lists if no end has been listed.
	stopCheckDelay = 250 * time.Millisecond
	// refusalPause keeps new runs off a worker after it refused one.
	refusalPause = 500 * time.Millisecond
	// minSuspectPause keeps new runs off a worker that failed or stalled runs; it
	// doubles with each further one up to suspectMax.
	minSuspectPause = 2 * time.Second
	maxSuspectPause = 16 * time.Second
	// minSuspectFailures is how many failed runs of different jobs in a row make a
	// worker suspect; one alone may be the task's own fault.
	minSuspectFailures = 2
	// earlyFailureShare is the share of its estimated time before which a failed run
	// speaks against its worker at once.
	earlyFailureShare = 0.1
	// minEarlyFailureAge is the age up to which any failed run does: workers that fail all
	// they start have been seen to take up to 270 ms.
	minEarlyFailureAge = 300 * time.Millisecond
	// minProgressAge is the age from which on progress speaks for a run's worker.
	minProgressAge = 500 * time.Millisecond
	// exclusionTime is how long a task is kept off a worker on which it went wrong.
	exclusionTime = 8 * time.Second
	// stallShare is the part of a task's estimate without any progress after which
	// its run is moved; stallLeast and stallMost bound it. A percent takes a fifth
	// of the estimate on a worker that is seven times slower, away from its data.
	stallShare   = 0.4
	minStallTime = 1200 * time.Millisecond
	maxStallTime = 4 * time.Second
	// maxMissingLists is how many lists may lack a running task before it counts as over.
	maxMissingLists = 2
	// runsPerTerm is the number of run numbers that one term may give a task.
	runsPerTerm = 1000
	// drainDecisionTime is how long after a worker began to drain its runs are judged.
	drainDecisionTime = 300 * time.Millisecond
	// planTimeout bounds how long room is held for a unit while others leave it.
	planTimeout = 2 * time.Second
	// minPersistInterval is the least time between two batches of progress. Ends of a
	// busy pool come every few milliseconds, and each call to the store is paid for.
	minPersistInterval = 25 * time.Millisecond
	// minPassInterval is the least time between two passes of placement; what happens in
	// between is looked at together.
	minPassInterval = 15 * time.Millisecond
	// preemptInterval and reserveEvery lie between two attempts to make room for the
	// same unit by preemption and by reservation.
	preemptInterval = 100 * time.Millisecond
	reserveInterval = time.Second
	// maxUnansweredStarts bounds the starts without an answer, or one for every
	// workersPerStart workers if that is more. A new owner of 350 workers on a machine of 0.19 cores ordered 383
	// jobs at once and could neither hear the answers in time nor renew its term
	// (docs/MEASUREMENTS.md); pools of thousands are owned by stronger machines.
	maxUnansweredStarts       = 64
	workersPerUnansweredStart = 5
	// newTermNoticeTime is how soon an earlier owner that reaches the store has heard of a
	// new term: it renews its own every 0.5 s, and after a failure every 0.25 s.
	newTermNoticeTime = time.Second
	// startAnswerTime is how long a start counts as such; a worker that takes longer is
	// cut off or slow, and says nothing of the owner.
	startAnswerTime = 250 * time.Millisecond
	// unansweredPause lies between two passes while answers are waited for.
	unansweredPause = 50 * time.Millisecond
)
