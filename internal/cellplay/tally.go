package cellplay

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/job"
)

// longest is the largest time that a tally tells apart, in milliseconds.
const longest = int64(time.Hour / time.Millisecond)

// tally counts what becomes of a trace's jobs.
type tally struct {
	jobs      map[job.ID]*record
	order     []*record
	starts    int
	preempted int
	// runs sums up samples of the runs at work.
	runs, samples int
}

// record is one job's way.
type record struct {
	kind      string
	objective time.Duration
	// wait is until the first start, negative before it.
	wait  time.Duration
	ended bool
	took  time.Duration
	done  bool
}

func newTally(t *Trace) *tally { return &tally{jobs: make(map[job.ID]*record, len(t.Jobs))} }

func (t *tally) submitted(a *Arrival) {
	r := &record{kind: a.Job.Queue.Name, objective: a.Job.Objective(), wait: -1}
	t.jobs[a.Job.ID] = r
	t.order = append(t.order, r)
}

func (t *tally) started(a cell.Start) {
	if a.Resends > 0 {
		return
	}
	t.starts++
	if r := t.jobs[a.Order.Task.Job]; r.wait < 0 {
		r.wait = a.Waited
	}
}

func (t *tally) stopped(a cell.Stop) {
	if a.Reason == cell.ReasonPreempted {
		t.preempted++
	}
}

func (t *tally) ended(a cell.JobEnded) {
	r := t.jobs[a.ID]
	r.ended, r.took, r.done = true, a.Age, a.Outcome == job.Complete
}

func (t *tally) sample(runs int) {
	t.runs += runs
	t.samples++
}

// result sums up what became of the jobs.
func (t *tally) result(of *Trace, order string, open int, faults []string) Result {
	out := Result{Mix: of.Mix, Params: of.Params, Ranking: order, Unfinished: open, Starts: t.starts, Preempted: t.preempted, Violations: faults}
	if t.samples > 0 {
		out.MeanRuns = float64(t.runs) / float64(t.samples)
	}
	kinds := make(map[string]*kindTally)
	var names []string
	for _, r := range t.order {
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
		out.Kinds = append(out.Kinds, kinds[n].figures(n))
	}
	return out
}

// kindTally counts the jobs of one kind.
type kindTally struct {
	jobs, ended, inTime int
	// shares sums up the times taken as shares of the objectives.
	shares float64
	waits  *hdrhistogram.Histogram
	times  *hdrhistogram.Histogram
}

func newKindTally() *kindTally {
	const digits = 3
	return &kindTally{waits: hdrhistogram.New(1, longest, digits), times: hdrhistogram.New(1, longest, digits)}
}

func (k *kindTally) add(r *record) {
	k.jobs++
	if r.wait >= 0 {
		_ = k.waits.RecordValue(min(r.wait.Milliseconds(), longest))
	}
	if !r.ended || !r.done {
		return
	}
	k.ended++
	if r.took <= r.objective {
		k.inTime++
	}
	k.shares += r.took.Seconds() / r.objective.Seconds()
	_ = k.times.RecordValue(min(r.took.Milliseconds(), longest))
}

func (k *kindTally) figures(name string) KindResult {
	f := KindResult{
		Kind: name, Jobs: k.jobs, Done: k.ended, WithinObjective: float64(k.inTime) / float64(k.jobs),
		WaitP99: quantile(k.waits, 99), P50: quantile(k.times, 50), P99: quantile(k.times, 99),
	}
	if k.ended > 0 {
		f.MeanObjectiveRatio = k.shares / float64(k.ended)
	}
	return f
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Millisecond
}
