package experiment

import (
	"time"

	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

const (
	// leaseTime is how long leases and starts take.
	leaseTime = 3 * time.Millisecond
	// stopTime is how long a stop takes.
	stopTime = 50 * time.Millisecond
	// failTime is how soon a task fails on a worker that fails everything.
	failTime = 200 * time.Millisecond
	// usageLag is how late usage is reported.
	usageLag = 2 * time.Second
	// usageEvery is how often usage is reported.
	usageEvery = 4 * time.Second
	// usageReports bounds the reports of one task.
	usageReports = 8
)

// fakeTask is a task on a fake worker.
type fakeTask struct {
	part   placement.Part
	live   *live
	from   time.Time
	left   time.Duration
	state  platform.EndState
	plan   int
	dead   bool
	slowed bool
}

func (b *bench) begin(x placement.Begin) {
	l, ok := b.jobs[x.Work.Key]
	if !ok {
		return
	}
	b.m.begun(l, x, b.now)
	l.begun = true
	l.attempt = x.Attempt
	b.in(leaseTime, event{core: placement.Started{Key: x.Work.Key}})
	for _, p := range x.Parts {
		t := &fakeTask{part: p, live: l, from: b.now.Add(leaseTime), left: l.left, state: platform.EndDone}
		if l.job.Fails {
			t.left, t.state = min(t.left, failTime), platform.EndFailed
		}
		if b.isBad(p.Worker) {
			t.left, t.state = failTime, platform.EndFailed
		}
		b.tasks[p.Lease] = t
		b.planEnd(t, t.from.Add(t.left))
		b.report(t)
	}
}

func (b *bench) isBad(w model.WorkerID) bool {
	for _, l := range b.trace.Bad {
		at := b.now.Sub(start)
		if l.Worker == w && at >= l.From && at < l.From+l.For {
			return true
		}
	}
	return false
}

// planEnd has the task end at a time, in place of any earlier plan.
func (b *bench) planEnd(t *fakeTask, at time.Time) {
	t.plan++
	b.at(at, event{end: t.part.Lease, plan: t.plan})
}

// report has the task's use sampled now and then.
func (b *bench) report(t *fakeTask) {
	if t.live.job.UsesFactor <= 0 {
		return
	}
	for i := range usageReports {
		b.at(t.from.Add(time.Duration(i+1)*usageEvery), event{sample: t.part.Lease})
	}
}

// sample has the task's use of now told to the core, late.
func (b *bench) sample(id model.LeaseID) {
	t, ok := b.tasks[id]
	if !ok || t.dead {
		return
	}
	used := t.part.Shape
	if !t.slowed {
		used.CPUMilli = int(float64(used.CPUMilli) * t.live.job.UsesFactor)
	}
	b.in(usageLag, event{core: placement.Used{Lease: id, Used: used, At: b.now}})
}

func (b *bench) control(x placement.Control) {
	t, ok := b.tasks[x.Lease]
	if !ok || t.dead {
		return
	}
	switch x.Verb {
	case platform.VerbThrottle:
		b.throttle(t)
	case platform.VerbCheckpoint:
		b.leave(t, platform.EndCheckpointed, t.live.job.Checkpoint)
	case platform.VerbStop:
		b.leave(t, platform.EndStopped, stopTime)
	}
}

// leave ends a task early, unless it is done before.
func (b *bench) leave(t *fakeTask, state platform.EndState, in time.Duration) {
	at := b.now.Add(in)
	if done := t.from.Add(t.left); !done.After(at) && t.state == platform.EndDone {
		return
	}
	t.state = state
	b.planEnd(t, at)
}

// throttle slows a task to its declared use.
func (b *bench) throttle(t *fakeTask) {
	if t.slowed || t.state != platform.EndDone {
		return
	}
	t.slowed = true
	left := t.from.Add(t.left).Sub(b.now)
	t.left += left / 2
	b.planEnd(t, t.from.Add(t.left))
}

func (b *bench) endTask(id model.LeaseID, plan int) {
	t, ok := b.tasks[id]
	if !ok || t.plan != plan || t.dead {
		return
	}
	delete(b.tasks, id)
	ran := max(0, b.now.Sub(t.from))
	lost := time.Duration(0)
	switch t.state {
	case platform.EndDone:
	case platform.EndCheckpointed:
		t.live.left = max(time.Millisecond, min(t.live.left, t.left-ran))
	default:
		lost = ran
	}
	b.m.ended(t, lost)
	b.step(placement.Ended{Worker: t.part.Worker, Ending: platform.Ending{
		Lease: id, State: t.state, Ran: ran,
		Label: platform.Label{Key: t.live.job.Work.Key, Member: t.part.Member},
	}})
}

// lose kills the tasks of a worker that goes silent; nobody hears of their end.
func (b *bench) lose(ev placement.Event) {
	seen, ok := ev.(placement.WorkerSeen)
	if !ok || seen.Up {
		return
	}
	for _, t := range b.tasks {
		if t.part.Worker == seen.Worker && !t.dead {
			t.dead = true
			b.m.ended(t, max(0, b.now.Sub(t.from)))
		}
	}
}
