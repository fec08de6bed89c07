package cellplay

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/job"
)

// maxMillis is the largest time that the histograms record, in milliseconds.
const maxMillis = int64(time.Hour / time.Millisecond)

// tally records what happens to a trace's jobs.
type tally struct {
	countFrom    time.Duration
	jobs         map[job.ID]*jobRecord
	bySubmission []*jobRecord
	starts       int
	preempted    int
	// runsSum is the sum of the sampled numbers of runs in progress.
	runsSum, samples int
}

// jobRecord is the history of one job.
type jobRecord struct {
	kind      string
	priority  int
	refused   bool
	objective time.Duration
	// wait is the time from submission to the first start, or negative if there was
	// none.
	wait     time.Duration
	ended    bool
	duration time.Duration
	done     bool
}

func newTally(t *Trace) *tally {
	return &tally{countFrom: t.CountFrom, jobs: make(map[job.ID]*jobRecord, len(t.Jobs))}
}

func (t *tally) addJob(a *Arrival) {
	t.record(a)
}

// addRefused adds a job that was refused.
func (t *tally) addRefused(a *Arrival) { t.record(a).refused = true }

func (t *tally) record(a *Arrival) *jobRecord {
	r := &jobRecord{kind: a.Job.Queue.Name, priority: a.Job.Queue.Priority, objective: a.Job.Objective(), wait: -1}
	t.jobs[a.Job.ID] = r
	if a.At >= t.countFrom {
		t.bySubmission = append(t.bySubmission, r)
	}
	return r
}

func (t *tally) addStart(a cell.Start) {
	if a.Resends > 0 {
		return
	}
	t.starts++
	if r := t.jobs[a.Order.Task.Job]; r.wait < 0 {
		r.wait = a.Waited
	}
}

func (t *tally) addStop(a cell.Stop) {
	if a.Reason == cell.ReasonPreempted {
		t.preempted++
	}
}

func (t *tally) addEnd(a cell.JobEnded) {
	r := t.jobs[a.ID]
	r.ended, r.duration, r.done = true, a.Age, a.Outcome == job.Complete
}

func (t *tally) addSample(runs int) {
	t.runsSum += runs
	t.samples++
}

// result returns the totals of all jobs and of each kind.
func (t *tally) result(trace *Trace, ranking string, unfinished int, violations []string) Result {
	out := Result{Mix: trace.Mix, Params: trace.Params, Ranking: ranking, Unfinished: unfinished, Starts: t.starts, Preempted: t.preempted, Violations: violations}
	if t.samples > 0 {
		out.MeanRuns = float64(t.runsSum) / float64(t.samples)
	}
	kinds := make(map[string]*kindTally)
	var names []string
	for _, r := range t.bySubmission {
		k := kinds[r.kind]
		if k == nil {
			k = newKindTally()
			kinds[r.kind] = k
			names = append(names, r.kind)
		}
		k.add(r)
	}
	slices.Sort(names)
	for _, n := range names {
		out.Kinds = append(out.Kinds, kinds[n].result(n))
	}
	return out
}

// kindTally counts the jobs of one kind.
type kindTally struct {
	priority                             int
	jobs, refused, done, withinObjective int
	// ratioSum is the sum of the ratios of done jobs' durations to their objectives.
	ratioSum float64
	waits    *hdrhistogram.Histogram
	times    *hdrhistogram.Histogram
}

func newKindTally() *kindTally {
	const digits = 3
	return &kindTally{waits: hdrhistogram.New(1, maxMillis, digits), times: hdrhistogram.New(1, maxMillis, digits)}
}

func (k *kindTally) add(r *jobRecord) {
	k.priority = r.priority
	if r.refused {
		k.refused++
		return
	}
	k.jobs++
	if r.wait >= 0 {
		_ = k.waits.RecordValue(min(r.wait.Milliseconds(), maxMillis))
	}
	if !r.ended || !r.done {
		return
	}
	k.done++
	if r.duration <= r.objective {
		k.withinObjective++
	}
	k.ratioSum += r.duration.Seconds() / r.objective.Seconds()
	_ = k.times.RecordValue(min(r.duration.Milliseconds(), maxMillis))
}

func (k *kindTally) result(name string) KindResult {
	out := KindResult{
		Kind: name, Priority: k.priority, Jobs: k.jobs, Refused: k.refused, Done: k.done, WithinObjective: float64(k.withinObjective) / float64(max(k.jobs, 1)),
		WaitP99: quantile(k.waits, 99), P50: quantile(k.times, 50), P99: quantile(k.times, 99),
	}
	if k.done > 0 {
		out.MeanObjectiveRatio = k.ratioSum / float64(k.done)
	}
	return out
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Millisecond
}
