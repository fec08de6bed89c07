package instance

import (
	"sync/atomic"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/metric"
)

var (
	mAccepted          = metric.NewCounter("coltsfootmux_jobs_accepted_total", "jobs", "jobs that are durable and were accepted here")
	mRefused           = metric.NewCounter("coltsfootmux_jobs_refused_total", "jobs", "jobs refused here; they never run")
	mRefusedFull       = metric.NewCounter("coltsfootmux_jobs_refused_full_total", "jobs", "jobs refused here because the cell has no memory for them; part of all refused jobs")
	mRefusedShed       = metric.NewCounter("coltsfootmux_jobs_refused_overload_total", "jobs", "jobs refused here because the cell's owner lacks processor time; part of all refused jobs")
	mUnconfirmed       = metric.NewCounter("coltsfootmux_jobs_unclear_total", "calls", "submissions and cancellations that were not confirmed")
	mCancelled         = metric.NewCounter("coltsfootmux_cancellations_total", "calls", "cancellations accepted here")
	mStatusAnswered    = metric.NewCounter("coltsfootmux_states_answered_total", "calls", "requests for a job's status answered here")
	mStatusUnavailable = metric.NewCounter("coltsfootmux_states_unavailable_total", "calls", "requests for a job's status that could not be answered")
	mAcceptTime        = metric.NewHistogram("coltsfootmux_accept_seconds", "seconds", "time from a submission to its acceptance")

	mClaimWaits = metric.NewCounter("coltsfootmux_claim_waits_total", "reports", "reports that a claim of the next term waits for consents")

	mPolicyReadTime    = metric.NewHistogram("coltsfootmux_policy_read_seconds", "seconds", "time of a read of the policy's topic that returned records, with the wait for them")
	mPolicyReadsFailed = metric.NewCounter("coltsfootmux_policy_reads_failed_total", "reads", "reads of the policy's topic that failed")
	mDenied            = metric.NewCounterVec("coltsfootmux_requests_denied_total", "requests", "reason", "requests refused because the policy has no such route or key")

	mStoreCalls = metric.NewCounterVec("coltsfootmux_store_calls_total", "calls", "result", "calls to the store by result")
	mAppendTime = metric.NewHistogram("coltsfootmux_store_append_seconds", "seconds", "time of an append to the store")

	mStartsResent       = metric.NewCounter("coltsfootmux_starts_repeated_total", "orders", "start orders sent again because they were not answered in time")
	mStarts             = metric.NewCounter("coltsfootmux_runs_ordered_total", "runs", "runs ordered")
	mStartsFailed       = metric.NewCounter("coltsfootmux_runs_not_started_total", "runs", "starts that were refused or not answered")
	mStops              = metric.NewCounter("coltsfootmux_runs_stopped_total", "runs", "runs ordered to stop")
	mRunsEnded          = metric.NewCounterVec("coltsfootmux_runs_ended_total", "runs", "how", "ended runs by how they ended")
	mTaskWait           = metric.NewHistogram("coltsfootmux_task_wait_seconds", "seconds", "time from when a task could first run to its start")
	mGangStartTime      = metric.NewHistogram("coltsfootmux_gang_start_seconds", "seconds", "time from the order of a gang until all of its members are known to run")
	mJobsStood          = metric.NewCounterVec("coltsfootmux_jobs_stood_total", "reports", "reason", "reports of jobs that have nothing running although there is room, by reason")
	mRelaxed            = metric.NewCounterVec("coltsfootmux_constraints_relaxed_total", "placements", "constraint", "placements of jobs that stood, without regard to a soft constraint")
	mJobsEnded          = metric.NewCounterVec("coltsfootmux_jobs_ended_total", "jobs", "outcome", "ended jobs by outcome")
	mJobTime            = metric.NewHistogram("coltsfootmux_job_seconds", "seconds", "time from a job's submission to its end")
	mHoldsFailed        = metric.NewCounter("coltsfootmux_worker_calls_failed_total", "calls", "holds that a worker did not answer")
	mReadsAborted       = metric.NewCounter("coltsfootmux_reads_hurried_total", "reads", "reads of jobs aborted because a confirmed record was not delivered in time")
	mUnconfirmedStarts  = metric.NewCounterVec("coltsfootmux_doubts_total", "starts", "how", "unconfirmed starts by how they were resolved")
	mWorkerCrashes      = metric.NewCounter("coltsfootmux_worker_crashes_total", "workers", "workers that have crashed while they had runs")
	mTasksGivenUp       = metric.NewCounter("coltsfootmux_tasks_given_up_total", "tasks", "tasks whose job failed because workers crashed under them")
	mPlacedApart        = metric.NewCounter("coltsfootmux_placed_apart_total", "placements", "placements elsewhere because tasks slow each other down")
	mVotesWritten       = metric.NewCounterVec("coltsfootmux_votes_written_total", "votes", "reason", "votes of this instance against owners of a term")
	mVotesRead          = metric.NewCounterVec("coltsfootmux_votes_read_total", "votes", "reason", "votes against a term that this instance owned")
	mAlarms             = metric.NewCounterVec("coltsfootmux_cell_alarms_total", "alarms", "code", "alarms raised, by code")
	mRecordsRefused     = metric.NewCounter("coltsfootmux_records_refused_total", "records", "progress of jobs, and rosters, that the store will never take")
	mCheckpointsDropped = metric.NewCounter("coltsfootmux_checkpoints_dropped_total", "checkpoints", "checkpoints left out of stored progress for its size, at each write")
	mProgressWriteTime  = metric.NewHistogram("coltsfootmux_progress_write_seconds", "seconds", "time until progress is durable")
)

// gaugeInstance is the instance whose state the gauges show: the one that the process
// runs, or the last of several in tests.
var gaugeInstance atomic.Pointer[Instance]

// gauge declares a gauge of gaugeInstance.
func gauge(name, unit, help string, read func(*Instance) float64) {
	metric.NewGauge(name, unit, help, func() float64 {
		if i := gaugeInstance.Load(); i != nil {
			return read(i)
		}
		return 0
	})
}

func init() {
	gauge("coltsfootmux_policy_version", "version", "version of the policy in force", func(i *Instance) float64 { return float64(i.policyInForce()) })
	gauge("coltsfootmux_policy_age_seconds", "seconds", "time since the policy was last read from the store", func(i *Instance) float64 { return i.policyAge().Seconds() })
	gauge("coltsfootmux_data_centres_drained", "data centres", "data centres in which operators allow no new runs", func(i *Instance) float64 { return float64(len(i.drainedDataCentres())) })
	gauge("coltsfootmux_store_reachable", "0 or 1", "whether the store answers this process for any topic", (*Instance).storeReachable)
	gauge("coltsfootmux_term_owned", "term", "the term that this process owns, 0 for none", (*Instance).ownedTerm)
	gauge("coltsfootmux_term_age_seconds", "seconds", "time since the store last answered for the term", func(i *Instance) float64 { return i.sinceAnswer(topicTerm) })
	gauge("coltsfootmux_term_unstored_seconds", "seconds", "time since the latest stored renewal of the owned term was sent", func(i *Instance) float64 { return i.sinceTermStored().Seconds() })
	gauge("coltsfootmux_owner_silent_seconds", "seconds", "time since the latest check of the owner by this witness that the owner answered, 0 if it answered the last", func(i *Instance) float64 { return i.ownerSilentFor().Seconds() })
	gauge("coltsfootmux_worker_list_age_seconds", "seconds", "time since the store last answered for the list of workers", func(i *Instance) float64 { return i.sinceAnswer(i.WorkerTopic) })
	gauge("coltsfootmux_open_jobs", "jobs", "jobs of the owned cell that have not ended", func(i *Instance) float64 { return float64(i.cellLoad().OpenJobs) })
	gauge("coltsfootmux_cell_jobs_bytes", "bytes", "estimate of what the jobs of the owned cell take", func(i *Instance) float64 { return float64(i.cellLoad().Used) })
	gauge("coltsfootmux_cell_deferred_jobs", "jobs", "jobs of the owned cell of which due tasks are put off for want of memory", func(i *Instance) float64 { return float64(i.cellLoad().Deferred) })
	gauge("coltsfootmux_waiting_units", "tasks", "tasks and gangs waiting in the owned cell", func(i *Instance) float64 { return float64(i.cellLoad().Waiting) })
	gauge("coltsfootmux_cell_runs", "runs", "runs on the owned cell's workers", func(i *Instance) float64 { return float64(i.cellLoad().Runs) })
	gauge("coltsfootmux_cell_workers", "workers", "workers known to the owned cell", func(i *Instance) float64 { return float64(i.cellLoad().Workers) })
	gauge("coltsfootmux_accounts_over_share", "accounts", "client accounts over their share of the owned cell's workers", func(i *Instance) float64 { return float64(i.cellLoad().OverShare) })
	gauge("coltsfootmux_cell_workers_usable", "workers", "workers of the owned cell that may be given work", func(i *Instance) float64 { return float64(i.cellLoad().Usable) })
	gauge("coltsfootmux_interfering_pairs", "pairs", "pairs of task profiles in the owned cell of which one slows the other", func(i *Instance) float64 { return float64(i.cellLoad().InterferingPairs) })
}

// sinceAnswer returns the seconds since the store last answered for a topic, 0 if it
// never did.
func (i *Instance) sinceAnswer(t external.Topic) float64 {
	since, ok := i.storeMonitor.sinceAnswer(t)
	if !ok {
		return 0
	}
	return since.Seconds()
}

func (i *Instance) storeReachable() float64 {
	if i.storeMonitor.reachable() {
		return 1
	}
	return 0
}

func (i *Instance) ownedTerm() float64 { return float64(i.ownedTermNumber()) }

// ownedTermNumber returns the term that this instance owns, 0 for none.
func (i *Instance) ownedTermNumber() int64 {
	if o := i.owner.Load(); o != nil {
		return o.term
	}
	return 0
}

// cellLoad returns the load of the owned cell, or an empty one if none is owned.
func (i *Instance) cellLoad() cell.Load {
	o := i.owner.Load()
	if o == nil {
		return cell.Load{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.core == nil {
		return cell.Load{}
	}
	return o.core.Load()
}
