package cell

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// simulation runs cores against the stand-in fleet in virtual time, over a network
// that delays, loses and carries out late.
type simulation struct {
	t          *testing.T
	rng        *rand.Rand
	now        time.Duration
	fleet      *fleet.Fleet
	queue      []delivery
	deliveries int

	policy *job.Policy
	owners []*testOwner
	// what is durable
	jobs      []job.Job
	cancels   []job.ID
	progress  map[job.ID]job.Progress
	storeTerm int64
	// faults of the network, as shares of calls
	lossRate, lateRate float64
	unreachable        map[external.WorkerID]bool
	unlistedRate       float64
	neverListed        external.WorkerID
	roster             []RosterEntry
	storeDown          bool
	// termUnconfirmed keeps the owner from proving its term.
	termUnconfirmed bool
	reports         []string
	adviceAsked     int
	stops           map[StopReason]int
	// onStart, if set, sees every start that is ordered.
	onStart func(external.StartOrder)
}

type testOwner struct {
	core   *Core
	term   int64
	halted bool
}

type delivery struct {
	at    time.Duration
	order int
	do    func()
}

func testSettings() Settings {
	return Settings{
		Lease: fleet.LeaseMax - 50*time.Millisecond, StartGrace: 1800 * time.Millisecond, PreviousOwnerGrace: 3 * time.Second,
		ReclaimWithin:    2700 * time.Millisecond,
		RemoteDataFactor: 3, OpenEarly: 250 * time.Millisecond, Retention: 2 * time.Minute,
	}
}

// randomDurations gives each task a run time that depends on its name only.
func randomDurations(seed uint64) fleet.Work {
	return func(t job.TaskID, run int64) (time.Duration, bool) {
		r := rand.New(rand.NewPCG(seed, uint64(len(t.Job))*31+uint64(t.Step)*7+uint64(t.Index)))
		return time.Duration(200+r.IntN(3000)) * time.Millisecond, false
	}
}

func newSimulation(t *testing.T, seed uint64, machines int) *simulation {
	w := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), fleet: fleet.New(randomDurations(seed)),
		progress: make(map[job.ID]job.Progress), unreachable: make(map[external.WorkerID]bool),
		stops:  make(map[StopReason]int),
		policy: &job.Policy{Accounts: []job.Account{{Name: "a", GuaranteedGPU: 16}}},
	}
	for n := range machines {
		w.fleet.Add(testWorker(n))
	}
	return w
}

func testWorker(n int) external.Worker {
	rack := fmt.Sprintf("r%d", n/4)
	return external.Worker{
		ID: external.WorkerID(fmt.Sprintf("w%02d", n)), Pool: "p", Addr: fmt.Sprintf("10.0.0.%d:1", n),
		Capacity: job.Resources{CPU: 32000, MemMB: 64000, GPU: 8}, Labels: []string{"a", rack}, Rack: rack, StartedMS: 1,
	}
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.deliveries++
	w.queue = append(w.queue, delivery{at: w.now + d, order: w.deliveries, do: do})
}

func (w *simulation) instant() Instant { return Instant{Mono: w.now, UnixMS: w.now.Milliseconds()} }

// takeOver makes a new owner from what is durable. The one before may go on for
// its grace time at most, as core/term has it.
func (w *simulation) takeOver() *testOwner {
	if len(w.owners) > 0 {
		before := w.current()
		w.schedule(testSettings().PreviousOwnerGrace, func() { before.halted = true })
	}
	o := &testOwner{term: int64(len(w.owners) + 1)}
	o.core = New(testSettings(), o.term, w.policy, w.instant())
	w.storeTerm = o.term
	w.owners = append(w.owners, o)
	ev := Loaded{Jobs: slices.Clone(w.jobs), Cancels: slices.Clone(w.cancels), Progress: make(map[job.ID]job.Progress)}
	for id, p := range w.progress {
		ev.Progress[id] = p
	}
	ev.Roster = slices.Clone(w.roster)
	for _, m := range w.workers() {
		if m.ID == w.neverListed {
			continue
		}
		// An entry may be missing for a while, as a worker's report was lost.
		if w.unlistedRate > 0 && w.rng.Float64() < w.unlistedRate {
			w.schedule(time.Duration(500+w.rng.IntN(2500))*time.Millisecond, func() { w.step(o, WorkerChanged{Worker: m}) })
			continue
		}
		ev.Workers = append(ev.Workers, m)
	}
	w.step(o, ev)
	return o
}

func (w *simulation) workers() []external.Worker {
	var out []external.Worker
	for n := range 64 {
		if m := w.machine(n); m != nil {
			out = append(out, m.Worker)
		}
	}
	return out
}

func (w *simulation) machine(n int) *fleet.Machine {
	return w.fleet.Machine(external.WorkerID(fmt.Sprintf("w%02d", n)))
}

func (w *simulation) current() *testOwner { return w.owners[len(w.owners)-1] }

func (w *simulation) step(o *testOwner, ev Event) {
	if o.halted {
		return
	}
	for _, a := range o.core.Step(w.instant(), ev) {
		w.carryOut(o, a)
	}
}

func (w *simulation) submit(j job.Job) {
	j.SubmittedMS = w.now.Milliseconds()
	w.jobs = append(w.jobs, j)
	w.fleet.Submit(&j)
	w.schedule(5*time.Millisecond, func() { w.step(w.current(), Submitted{Job: j}) })
}

func (w *simulation) cancel(id job.ID) {
	w.cancels = append(w.cancels, id)
	w.fleet.CancelBy(id, w.now+3*time.Second)
	w.schedule(5*time.Millisecond, func() { w.step(w.current(), CancelRequested{ID: id}) })
}

func (w *simulation) delay() time.Duration { return time.Duration(1+w.rng.IntN(40)) * time.Millisecond }

// call carries a call to a worker there and back; answer is given a failure
// when none came.
func (w *simulation) call(id external.WorkerID, timeout time.Duration, carry func(), answer func(Failure)) {
	if w.unreachable[id] {
		w.schedule(timeout, func() { answer(FailureOutcomeUnknown) })
		return
	}
	switch p := w.rng.Float64(); {
	case p < w.lossRate:
		w.schedule(w.delay(), carry)
		w.schedule(timeout, func() { answer(FailureOutcomeUnknown) })
	case p < w.lossRate+w.lateRate:
		w.schedule(time.Duration(1+w.rng.IntN(6))*time.Second, func() {
			w.fleet.Late = true
			carry()
			w.fleet.Late = false
		})
		w.schedule(timeout, func() { answer(FailureOutcomeUnknown) })
	default:
		w.schedule(w.delay(), func() {
			carry()
			w.schedule(w.delay(), func() { answer(FailureNone) })
		})
	}
}

// ifSameIncarnation drops a call whose worker has started anew meanwhile: a connection
// does not outlive the process that it leads to.
func (w *simulation) ifSameIncarnation(id external.WorkerID, arrive, dropped func()) func() {
	m := w.fleet.Machine(id)
	born := m.StartedMS
	return func() {
		if m.StartedMS != born {
			dropped()
			return
		}
		arrive()
	}
}

// restart crashes a machine; its next life begins some time later, as a process
// takes time to start.
func (w *simulation) restart(m *fleet.Machine) {
	if m.Down {
		return
	}
	m.Rebirth()
	m.Down = true
	w.schedule(time.Duration(300+w.rng.IntN(1200))*time.Millisecond, func() {
		m.Rebirth()
		m.Down = false
	})
}

func (w *simulation) carryOut(o *testOwner, a Action) {
	ctx := context.Background()
	switch a := a.(type) {
	case Start:
		if w.onStart != nil {
			w.onStart(a.Order)
		}
		var r external.OrderResult
		var err error
		carry := w.ifSameIncarnation(a.Order.Worker, func() { r, err = w.fleet.Start(ctx, a.Order) }, func() { err = external.ErrOutcomeUnknown })
		w.call(a.Order.Worker, 700*time.Millisecond, carry, func(f Failure) {
			w.step(o, StartAnswered{Task: a.Order.Task, Run: a.Order.Run, Worker: a.Order.Worker, Refusal: r.Refusal, Clock: r.Clock, Failure: cmp.Or(f, FailureOf(err))})
		})
	case Stop:
		w.stops[a.Reason]++
		var r external.OrderResult
		var err error
		carry := w.ifSameIncarnation(a.Order.Worker, func() { r, err = w.fleet.Stop(ctx, a.Order) }, func() { err = external.ErrOutcomeUnknown })
		w.call(a.Order.Worker, 700*time.Millisecond, carry, func(f Failure) {
			w.step(o, StopAnswered{Task: a.Order.Task, Run: a.Order.Run, Worker: a.Order.Worker, Refusal: r.Refusal, Failure: cmp.Or(f, FailureOf(err))})
		})
	case Pace:
		w.call(a.Order.Worker, 700*time.Millisecond, func() { _, _ = w.fleet.Pace(ctx, a.Order) }, func(Failure) {})
	case Advise:
		w.schedule(100*time.Millisecond, func() { w.step(o, w.advice(a)) })
	case Hold:
		w.doHold(o, a)
	case Persist:
		w.doPersist(o, a)
	case Superseded:
		o.halted = true
	default:
		w.reports = append(w.reports, fmt.Sprintf("%v term %d: %+v", w.now, o.term, a))
	}
}

// advice allows every second worker.
func (w *simulation) advice(a Advise) AdviceAnswered {
	ev := AdviceAnswered{Step: a.Step, Asked: a.Workers, Advice: external.Advice{Tickets: make(map[external.WorkerID]string), ValidFor: 2 * time.Second}}
	w.adviceAsked += len(a.Workers)
	for _, id := range a.Workers {
		if (id[len(id)-1]-'0')%2 == 0 {
			ev.Advice.Tickets[id] = "ticket-" + string(id)
		}
	}
	return ev
}

// doHold answers a long hold after part of its wait, as ends come at any time.
func (w *simulation) doHold(o *testOwner, a Hold) {
	var l external.HoldResult
	var err error
	carry := func() { l, err = w.fleet.Hold(context.Background(), a.Order) }
	wait := time.Duration(0)
	if a.Order.Wait > 0 {
		wait = time.Duration(w.rng.Int64N(int64(a.Order.Wait)))
	}
	carry = w.ifSameIncarnation(a.Order.Worker, carry, func() { err = external.ErrOutcomeUnknown })
	w.schedule(wait, func() {
		w.call(a.Order.Worker, 700*time.Millisecond, carry, func(f Failure) {
			w.step(o, HoldAnswered{Worker: a.Order.Worker, Number: a.Number, Lists: l, Failure: cmp.Or(f, FailureOf(err))})
		})
	})
}

func (w *simulation) doPersist(o *testOwner, a Persist) {
	w.schedule(w.delay(), func() {
		if w.storeDown {
			w.doPersist(o, a)
			return
		}
		if w.storeTerm > o.term {
			o.halted = true
			return
		}
		for _, p := range a.Progress {
			w.progress[p.ID] = p.Progress
		}
		if a.Roster != nil {
			w.roster = a.Roster
		}
		w.schedule(w.delay(), func() { w.step(o, Persisted{Batch: a.Batch}) })
	})
}

// run moves time on; every owner that lives is ticked.
func (w *simulation) run(d time.Duration) {
	end := w.now + d
	for w.now < end {
		w.now += 10 * time.Millisecond
		w.fleet.Advance(w.now)
		w.deliver()
		if w.now%(50*time.Millisecond) == 0 {
			for _, o := range w.owners {
				w.step(o, Tick{})
			}
		}
		if w.now%(800*time.Millisecond) == 0 && !w.storeDown && !w.termUnconfirmed {
			w.step(w.current(), TermConfirmed{At: w.now})
		}
	}
}

func (w *simulation) deliver() {
	for {
		slices.SortFunc(w.queue, func(a, b delivery) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order)) })
		if len(w.queue) == 0 || w.queue[0].at > w.now {
			return
		}
		d := w.queue[0]
		w.queue = w.queue[1:]
		d.do()
	}
}

// runUntilDone runs until every job has ended, and fails when that takes too long.
func (w *simulation) runUntilDone(most time.Duration) {
	w.t.Helper()
	for end := w.now + most; w.now < end; {
		w.run(500 * time.Millisecond)
		open := 0
		for _, j := range w.jobs {
			if !w.ended(j.ID) {
				open++
			}
		}
		if open == 0 {
			return
		}
	}
	for _, j := range w.jobs {
		if !w.ended(j.ID) {
			w.t.Errorf("job %s has not ended: %+v", j.ID, w.current().core.Load())
		}
	}
}

func (w *simulation) ended(id job.ID) bool { return w.progress[id].Outcome != job.Open }

func (w *simulation) check() {
	w.t.Helper()
	for _, f := range w.fleet.Faults() {
		w.t.Error(f)
	}
	if w.t.Failed() {
		for _, l := range w.reports[max(0, len(w.reports)-60):] {
			w.t.Log(l)
		}
	}
}

func oneStepJob(id string, count int) job.Job {
	return job.Job{
		ID: job.ID(id), Account: "a", Spec: "s-" + id,
		Queue: job.Queue{Name: "q", Pool: "p", MaxTries: 3, Priority: 1, Stretch: 3, ObjectiveMS: 1000},
		Steps: []job.Step{{Count: count, CPU: 4000, MemMB: 4000, GPU: 1, EstimateMS: 1500, Checkpoints: true}},
	}
}
