package cell

import (
	"time"

	"coltsfootmux/internal/core/budget"
)

// Settings configure the decisions of a cell.
type Settings struct {
	// Lease is how long a worker continues its runs without hearing from the owner;
	// workers must grant leases of this length.
	Lease time.Duration
	// MaxLease is the longest lease that workers grant; at least Lease, 0 for Lease.
	MaxLease time.Duration
	// StartGrace is how long an owner may start runs after its term was last
	// confirmed. It is shorter than the time after which others claim the next term,
	// so that no start of a previous owner reaches a worker that knows no term yet.
	StartGrace time.Duration
	// PreviousOwnerGrace is how long after a takeover owners of earlier terms may still
	// renew leases, unless an EarlierOwnersEnd says that it is longer.
	PreviousOwnerGrace time.Duration
	// GangTimeout is how long workers let the members of a gang wait for the rest; 0 for no bound.
	GangTimeout time.Duration
	// RestoreTime is how long a run takes to resume from a checkpoint.
	RestoreTime time.Duration
	// RemoteDataFactor is how many times longer a task runs outside its data's rack.
	RemoteDataFactor float64
	// ReclaimWithin is the time in which urgent work within its account's guarantee
	// must start; 0 for no bound.
	ReclaimWithin time.Duration
	// OpenEarly is how long before its due time an occurrence may be opened.
	OpenEarly time.Duration
	// Retention is how long the status of an ended job is kept.
	Retention time.Duration
	// WorkerSpeedRatio is the least ratio between the time factors of a pool's slow and
	// fast workers for which placement takes speeds into account; 0 for never.
	WorkerSpeedRatio float64
	// InterferenceSlowdown is the least factor by which one task must slow another for
	// them to be placed apart; 0 for never.
	InterferenceSlowdown float64
	// AccountOveruse is the multiple of its share above which an account's work comes
	// after that of others; 0 for never.
	AccountOveruse float64
	// Memory bounds what the jobs of the cell may take; 0 for no bound.
	Memory budget.Limit
	// GangYieldRunTimes is the multiple of its run time above which work that has so much
	// time left starts nothing while a gang of higher priority waits for room; 0 for never.
	GangYieldRunTimes float64
}

// Internal constants, which operators have no reason to change.
const (
	// clockSlack multiplies the length of a lease to tell when it has expired for
	// certain, as a worker's clock may run up to 2 % slow.
	clockSlack = 1.03
	// leaseMargin is added before a lease counts as expired, as timers may fire late.
	leaseMargin = 100 * time.Millisecond
	// lateCallTime is how long after it was given up a call to a worker may still be carried out.
	lateCallTime = 6 * time.Second
	// maxHoldWait is how long a worker may delay its answer to a hold until a run
	// ends; leases are renewed at least this often.
	maxHoldWait = 1800 * time.Millisecond
	// maxUrgentHoldWait replaces maxHoldWait on workers that run work of priority 0,
	// so that a stalled run is noticed sooner.
	maxUrgentHoldWait = 900 * time.Millisecond
	// resendAfter is how long a call to a worker may stay without an answer before
	// it is sent again: more than twice two round trips between regions of 40 ms each.
	resendAfter = 200 * time.Millisecond
	// maxResends is how often one order may be sent again.
	maxResends = 2
	// maxResendsPerTick bounds the calls that are sent again at once: an owner that is
	// itself too slow to process answers would only add to its load.
	maxResendsPerTick = 16
	// holdRetryDelay is the time between two holds of a worker that does not answer.
	holdRetryDelay = 400 * time.Millisecond
	// wrongAddrRetryDelay replaces holdRetryDelay if another process answers at the address of
	// a worker that was never used there. A new address ends it.
	wrongAddrRetryDelay = 5 * time.Second
	// maxAckWait is how long a hold is put off until the worker's last ends are
	// durable, so that it can acknowledge them.
	maxAckWait = 500 * time.Millisecond
	// maxAckAge is how long after a worker's answer its ends may be acknowledged;
	// no worker restarts, runs a task and ends it in this time.
	maxAckAge = 150 * time.Millisecond
	// stopRetryDelay is the time between two orders to stop the same run.
	stopRetryDelay = 700 * time.Millisecond
	// stopCheckDelay is how long after an acknowledged stop the worker is asked for
	// its lists if it has not listed the run's end.
	stopCheckDelay = 250 * time.Millisecond
	// refusalPause is how long a worker gets no new runs after it refused one.
	refusalPause = 500 * time.Millisecond
	// minSuspectPause is how long a worker whose run failed or stalled gets no new
	// runs; the time doubles with each further one, up to maxSuspectPause.
	minSuspectPause = 2 * time.Second
	maxSuspectPause = 16 * time.Second
	// minSuspectFailures is how many different jobs must have failed in a row on a
	// worker to make it suspect; a single failure may be the task's own fault.
	minSuspectFailures = 2
	// earlyFailureShare is the share of a task's estimated time within which a
	// failed run makes its worker suspect at once.
	earlyFailureShare = 0.1
	// minEarlyFailureAge is the age up to which any failed run does so, whatever its
	// estimate: workers on which every run fails take up to 270 ms to fail it.
	minEarlyFailureAge = 300 * time.Millisecond
	// minProgressAge is the age from which a run's progress counts in favour of its
	// worker.
	minProgressAge = 500 * time.Millisecond
	// exclusionTime is how long a unit is kept off a worker on which a run of it
	// went wrong.
	exclusionTime = 8 * time.Second
	// stallShare is the share of a task's estimate after which a run without any
	// progress is moved; minStallTime and maxStallTime bound the resulting time. On a
	// worker that is seven times slower, in another rack than its data, a run
	// needs a fifth of the estimate for each percent.
	stallShare   = 0.4
	minStallTime = 1200 * time.Millisecond
	maxStallTime = 4 * time.Second
	// runsPerTerm is how many run numbers of a task are set aside for each term.
	runsPerTerm = 1000
	// maxGangStopResends replaces maxResends for the stops of a gang that was not complete in time.
	maxGangStopResends = 8
	// maxDelayedLooks bounds the groups of a pass for which a place is looked for to learn the delay of starts.
	maxDelayedLooks = 3
	// lateGangPause is how long a gang waits that was stopped as it was not complete in time.
	lateGangPause = 500 * time.Millisecond
	// drainDecisionTime is how long after a worker began to drain the runs without
	// checkpoints may be moved; see shouldMove.
	drainDecisionTime = 300 * time.Millisecond
	// planTimeout is how long room is kept for a unit while preempted runs stop.
	planTimeout = 2 * time.Second
	// minPersistInterval is the least time between two batches of progress. In a busy
	// pool runs end every few milliseconds, and each call to the store costs money.
	minPersistInterval = 25 * time.Millisecond
	// minPassInterval is the least time between two placement passes; a pass handles
	// all changes since the last one.
	minPassInterval = 15 * time.Millisecond
	// preemptInterval and reserveInterval are the times between two attempts to make
	// room for the same unit: for urgent work, and for all other.
	preemptInterval = 100 * time.Millisecond
	reserveInterval = time.Second
	// maxUnansweredStarts bounds the starts without an answer; the bound is one for
	// every workersPerUnansweredStart workers if that is more, as pools of thousands
	// are owned by stronger machines.
	maxUnansweredStarts       = 64
	workersPerUnansweredStart = 5
	// newTermNoticeTime is how long a previous owner that reaches the store takes to
	// learn of a new term: it renews its own every 0.5 s, and after a failure every
	// 0.25 s.
	newTermNoticeTime = time.Second
	// startAnswerTimeout is how long a start counts as unanswered for this bound; a
	// worker that takes longer is unreachable or slow, which does not mean that the
	// owner is overloaded.
	startAnswerTimeout = 250 * time.Millisecond
	// unansweredPause is the time to the next pass after one that reached this bound.
	unansweredPause = 50 * time.Millisecond
)
