package instance

import (
	"sync/atomic"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/metric"
)

var (
	mAccepted = metric.NewCounter("coltsfootmux_jobs_accepted_total", "jobs", "jobs that are durable and were accepted here")
	mRefused  = metric.NewCounter("coltsfootmux_jobs_refused_total", "jobs", "jobs refused here; they never run")
	mUnclear  = metric.NewCounter("coltsfootmux_jobs_unclear_total", "calls", "submissions and cancellations of which the store's answer stayed out")
	mCancels  = metric.NewCounter("coltsfootmux_cancellations_total", "calls", "cancellations accepted here")
	mAnswered = metric.NewCounter("coltsfootmux_states_answered_total", "calls", "states of jobs answered here")
	mUnknown  = metric.NewCounter("coltsfootmux_states_unavailable_total", "calls", "states of jobs that could not be told")
	mAccept   = metric.NewHistogram("coltsfootmux_accept_seconds", "seconds", "time from a submission to its acceptance")

	mStore  = metric.NewCounterVec("coltsfootmux_store_calls_total", "calls", "result", "calls to the store by what became of them")
	mAppend = metric.NewHistogram("coltsfootmux_store_append_seconds", "seconds", "time of an append at the store")

	mStartsAgain = metric.NewCounter("coltsfootmux_starts_repeated_total", "orders", "orders to start sent again, as they had no answer in time")
	mStarts      = metric.NewCounter("coltsfootmux_runs_ordered_total", "runs", "runs ordered")
	mNotBegun    = metric.NewCounter("coltsfootmux_runs_not_started_total", "runs", "starts that were refused or had no answer")
	mStops       = metric.NewCounter("coltsfootmux_runs_stopped_total", "runs", "runs ordered to stop")
	mRunsEnded   = metric.NewCounterVec("coltsfootmux_runs_ended_total", "runs", "how", "runs that are over by how they ended")
	mWaited      = metric.NewHistogram("coltsfootmux_task_wait_seconds", "seconds", "time from when a task could first run to its start")
	mJobsEnded   = metric.NewCounterVec("coltsfootmux_jobs_ended_total", "jobs", "outcome", "jobs that ended by their outcome")
	mJobAge      = metric.NewHistogram("coltsfootmux_job_seconds", "seconds", "time from a job's submission to its end")
	mSilent      = metric.NewCounter("coltsfootmux_worker_calls_failed_total", "calls", "holds that a worker did not answer")
	mHurried     = metric.NewCounter("coltsfootmux_reads_hurried_total", "reads", "reads of jobs given up, as a confirmed record was not delivered in time")
	mDoubts      = metric.NewCounterVec("coltsfootmux_doubts_total", "starts", "how", "starts without an answer by what became of them")
	mAlarms      = metric.NewCounterVec("coltsfootmux_cell_alarms_total", "alarms", "code", "alarms raised by code")
	mCommit      = metric.NewHistogram("coltsfootmux_progress_write_seconds", "seconds", "time until progress is durable")
)

// watched is the instance whose state the gauges show: the one that the process
// runs, or the last of several in tests.
var watched atomic.Pointer[Instance]

// gauge declares a gauge of the watched instance.
func gauge(name, unit, help string, read func(*Instance) float64) {
	metric.NewGauge(name, unit, help, func() float64 {
		if i := watched.Load(); i != nil {
			return read(i)
		}
		return 0
	})
}

func init() {
	gauge("coltsfootmux_policy_version", "version", "version of the policy in force", (*Instance).policyVersion)
	gauge("coltsfootmux_policy_age_seconds", "seconds", "time since the policy was last read from the store", (*Instance).policyAge)
	gauge("coltsfootmux_store_reachable", "0 or 1", "whether the store answers this process for any topic", (*Instance).storeReachable)
	gauge("coltsfootmux_term_owned", "term", "the term that this process owns, 0 for none", (*Instance).termOwned)
	gauge("coltsfootmux_term_age_seconds", "seconds", "time since the store last answered for the term", func(i *Instance) float64 { return i.sinceOK(topicTerm) })
	gauge("coltsfootmux_worker_list_age_seconds", "seconds", "time since the store last answered for the list of workers", func(i *Instance) float64 { return i.sinceOK(i.WorkerTopic) })
	gauge("coltsfootmux_open_jobs", "jobs", "jobs of the owned cell that have not ended", func(i *Instance) float64 { return float64(i.load().OpenJobs) })
	gauge("coltsfootmux_waiting_units", "tasks", "tasks and gangs of the owned cell that wait", func(i *Instance) float64 { return float64(i.load().Waiting) })
	gauge("coltsfootmux_cell_runs", "runs", "runs on the owned cell's workers", func(i *Instance) float64 { return float64(i.load().Runs) })
	gauge("coltsfootmux_cell_workers", "workers", "workers known to the owned cell", func(i *Instance) float64 { return float64(i.load().Workers) })
	gauge("coltsfootmux_cell_workers_usable", "workers", "workers of the owned cell that may be given work", func(i *Instance) float64 { return float64(i.load().Usable) })
}

func (i *Instance) policyVersion() float64 {
	if p := i.policy.Load(); p != nil {
		return float64(p.policy.Version)
	}
	return 0
}

func (i *Instance) policyAge() float64 {
	return (boottime() - time.Duration(i.policyRead.Load())).Seconds()
}

// sinceOK gives the seconds since the store answered for a topic, 0 if it never did.
func (i *Instance) sinceOK(t external.Topic) float64 {
	since, ok := i.store.sinceAnswer(t)
	if !ok {
		return 0
	}
	return since.Seconds()
}

func (i *Instance) storeReachable() float64 {
	if i.store.reachable() {
		return 1
	}
	return 0
}

func (i *Instance) termOwned() float64 {
	if o := i.owner.Load(); o != nil {
		return float64(o.term)
	}
	return 0
}

// load gives the owned cell's summary, an empty one when none is owned.
func (i *Instance) load() cell.Load {
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
