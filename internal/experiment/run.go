package experiment

import (
	"container/heap"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/model"
)

const (
	// tickEvery is how often the core is told that time passed.
	tickEvery = 250 * time.Millisecond
	// retryPause is the pause before work whose worker was lost is handed in again.
	retryPause = 100 * time.Millisecond
)

// start is the virtual time at which every trace begins.
var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// bench is one run of a trace under a policy.
type bench struct {
	trace  *Trace
	core   *placement.Core
	now    time.Time
	seq    uint64
	events eventHeap
	jobs   map[model.Key]*live
	tasks  map[model.LeaseID]*fakeTask
	open   int
	m      *measure
	check  func(*placement.Core) error
	err    error
}

// live is a job that the core has not answered yet.
type live struct {
	job       *Job
	submitted time.Time
	begun     bool
	attempt   int
	// left is the run time that is not behind a checkpoint yet.
	left time.Duration
	// overdue is since when it was past its bound with room after eviction.
	overdue time.Time
	late    bool
}

// large reports whether the job is large: a gang, or at least the reference shape.
func (l *live) large(t *Trace) bool {
	w := &l.job.Work
	return w.Members > 1 || w.Total().Accelerators >= t.Doc.Defaults.Reference.Accelerators
}

// Run plays a trace under a policy and reports what came of it.
func Run(t Trace, p placement.Policy) Result {
	r, _ := runChecked(t, p, nil)
	return r
}

// runChecked plays a trace and calls check after every step; the first error of
// check ends the run.
func runChecked(t Trace, p placement.Policy, check func(*placement.Core) error) (Result, error) {
	b := &bench{
		trace: &t,
		core:  placement.NewWithPolicy("bench", p),
		now:   start,
		jobs:  make(map[model.Key]*live),
		tasks: make(map[model.LeaseID]*fakeTask),
		m:     newMeasure(&t, p.Name),
		check: check,
	}
	b.load()
	for len(b.events) > 0 && b.err == nil {
		b.next()
	}
	return b.m.result(), b.err
}

// load queues the whole trace.
func (b *bench) load() {
	b.at(start, event{core: placement.Configured{
		Config: &config.Versioned{Version: 1, Document: *b.trace.Doc},
	}})
	for _, cl := range b.trace.Doc.Fleet.Cells {
		b.at(start, event{core: placement.CellGained{Cell: cl, Epoch: 16}})
	}
	for i := range b.trace.Jobs {
		j := &b.trace.Jobs[i]
		b.open++
		b.at(start.Add(j.At), event{submit: j, attempt: 1})
		if j.CancelAfter > 0 {
			b.at(start.Add(j.At+j.CancelAfter), event{core: placement.Cancelled{Key: j.Work.Key}})
		}
	}
	for _, l := range b.trace.Losses {
		b.at(start.Add(l.From), event{core: placement.WorkerSeen{Worker: l.Worker}})
		b.at(start.Add(l.From+l.For), event{core: placement.WorkerSeen{Worker: l.Worker, Up: true}})
	}
	b.at(start.Add(tickEvery), event{tick: true})
}

func (b *bench) at(t time.Time, e event) {
	b.seq++
	e.at = t
	e.seq = b.seq
	heap.Push(&b.events, e)
}

func (b *bench) in(d time.Duration, e event) { b.at(b.now.Add(d), e) }

func (b *bench) next() {
	e := heap.Pop(&b.events).(event)
	b.m.passed(b.now, e.at, b.core)
	b.now = e.at
	switch {
	case e.submit != nil:
		b.submit(e.submit, e.attempt)
	case e.end != "":
		b.endTask(e.end, e.plan)
	case e.sample != "":
		b.sample(e.sample)
	case e.tick:
		b.tick()
	default:
		b.step(e.core)
	}
}

func (b *bench) tick() {
	if b.open == 0 {
		return
	}
	b.step(placement.Tick{})
	b.watchLarge()
	b.in(tickEvery, event{tick: true})
}

func (b *bench) submit(j *Job, attempt int) {
	l, again := b.jobs[j.Work.Key]
	if !again {
		l = &live{job: j, submitted: b.now, left: j.Run}
		b.jobs[j.Work.Key] = l
	}
	b.m.submitted(l)
	l.attempt = attempt
	w := j.Work
	w.Submitted = l.submitted
	b.step(placement.Submitted{Work: w, Attempt: attempt})
}

func (b *bench) step(ev placement.Event) {
	if b.err != nil {
		return
	}
	b.lose(ev)
	for _, a := range b.core.Step(b.now, ev) {
		b.carryOut(a)
	}
	if b.check != nil {
		b.err = b.check(b.core)
	}
}

func (b *bench) carryOut(a placement.Action) {
	switch x := a.(type) {
	case placement.Begin:
		b.begin(x)
	case placement.Control:
		b.control(x)
	case placement.Refuse:
		b.refused(x)
	case placement.Complete:
		b.completed(x)
	case placement.Alarm:
		b.m.alarm(x)
	}
}

func (b *bench) refused(r placement.Refuse) {
	l, ok := b.jobs[r.Key]
	if !ok {
		return
	}
	b.m.refused(l, r)
	b.close(r.Key)
}

func (b *bench) completed(c placement.Complete) {
	l, ok := b.jobs[c.Key]
	if !ok {
		return
	}
	lost := c.Reason == model.ReasonWorkerLost || c.Reason == model.ReasonLeaseLapsed
	if c.Failed && lost && l.job.Work.Idempotent {
		b.in(retryPause, event{submit: l.job, attempt: l.attempt + 1})
		return
	}
	b.m.completed(l, c, b.now)
	b.close(c.Key)
}

func (b *bench) close(k model.Key) {
	delete(b.jobs, k)
	b.open--
}

// watchLarge notes large work that is past its bound although it would fit if
// borrowers left.
func (b *bench) watchLarge() {
	for _, l := range b.m.waitingLarge {
		b.m.watch(l, b.now, b.core)
	}
}
