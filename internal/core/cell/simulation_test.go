package cell

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// simulation runs the cores of successive owners against the stand-in fleet in
// virtual time, over a network that delays and loses calls and carries some out late.
type simulation struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	fleet *fleet.Fleet
	gangs gangJudge
	// queue holds the calls that are not due yet; scheduled counts all that were made.
	queue     []scheduledCall
	scheduled int

	policy *job.Policy
	// owners holds an owner for each term; the last one is the current owner.
	owners []*testOwner
	// contents of the store
	jobs      []job.Job
	cancels   []job.ID
	progress  map[job.ID]job.Progress
	storeTerm int64
	// lossRate is the share of calls whose answer is lost, lateRate of those that are
	// carried out seconds later.
	lossRate, lateRate float64
	// unreachable holds the workers that calls do not reach.
	unreachable map[external.WorkerID]bool
	// confirmedOwners says that cutOrDrain replaces owners that their peers have just confirmed.
	confirmedOwners bool
	// keptOwners says that cutOrDrain replaces owners that go on renewing leases on an island.
	// island holds the workers on it, earlierUntil is until when it exists.
	keptOwners   bool
	island       map[external.WorkerID]bool
	earlierUntil time.Duration
	// refusing holds the workers that are cut off and whose connections are refused.
	refusing map[external.WorkerID]bool
	// expired holds the workers whose entries have expired.
	expired map[external.WorkerID]bool
	// unlistedRate is the share of workers that a new owner's list lacks at first.
	unlistedRate float64
	// unreadRate is the share of jobs that a new owner can't read at first.
	unreadRate float64
	// recurrence, if set, draws the occurrences of jobs.
	recurrence *rand.Rand
	// drained holds the drained data centres.
	drained []string
	// departedWorker, if set, is missing from the list of every new owner.
	departedWorker external.WorkerID
	// roster is the stored roster.
	roster    []RosterEntry
	storeDown bool
	// refuses is a job whose progress the store refuses, but for its outcome.
	refuses job.ID
	// refusesOutcome says that it refuses the outcome too.
	refusesOutcome bool
	// termUnconfirmed keeps the current owner's term from being confirmed.
	termUnconfirmed bool
	// reports holds the actions that are only logged.
	reports []string
	// stands holds the reports of jobs that stand.
	stands []JobStands
	// adviceAsked counts the workers about which advice was asked.
	adviceAsked int
	stops       map[StopReason]int
	// adviceLost says that requests for advice get no answer.
	adviceLost bool
	// adviceSilent is how many requests for advice stay without an answer until they time out.
	adviceSilent int
	// onStart, if set, is called with every start order.
	onStart func(external.StartOrder)
	// settings are those of new owners.
	settings Settings
	// stepCore, if set, replaces the call of an owner's core.
	stepCore func(o *testOwner, now Instant, ev Event) []Action
	// adjustSettings, if set, changes the settings of every new owner.
	adjustSettings func(*Settings)
}

// testOwner is the owner of one term. A halted owner processes no events.
type testOwner struct {
	core   *Core
	term   int64
	halted bool
	// unreachable holds the workers that this owner's calls do not reach.
	unreachable map[external.WorkerID]bool
	// startsEnded says that the owner must not order starts any more, as the next term was claimed.
	startsEnded bool
	// onIsland says that the owner is on the island, where it keeps its term until keepsUntil.
	onIsland   bool
	keepsUntil time.Duration
	// readsUntil is the time until which the owner of an earlier term reads new jobs.
	readsUntil time.Duration
}

// scheduledCall is a function that is called at a given time. Calls at the same time
// are made in the order of their numbers.
type scheduledCall struct {
	at     time.Duration
	number int
	do     func()
}

// tickTime is the step of the simulated time.
const tickTime = 10 * time.Millisecond

// testDataCentres is the number of data centres, d0 and up.
const testDataCentres = 3

func testSettings() Settings {
	return Settings{
		Lease: fleet.MaxLease - 50*time.Millisecond, StartGrace: 1800 * time.Millisecond, PreviousOwnerGrace: 3 * time.Second,
		ReclaimWithin: 2700 * time.Millisecond, GangTimeout: fleet.GangTimeout,
		RemoteDataFactor: 3, OpenEarly: 250 * time.Millisecond, Retention: 2 * time.Minute,
	}
}

// randomDurations returns a function that gives each task a duration that depends
// only on the seed and the task's ID.
func randomDurations(seed uint64) fleet.WorkFunc {
	return func(t job.TaskID, run int64) (time.Duration, bool) {
		r := rand.New(rand.NewPCG(seed, uint64(len(t.Job))*31+uint64(t.Step)*7+uint64(t.Index)))
		return time.Duration(200+r.IntN(3000)) * time.Millisecond, false
	}
}

// newSimulation returns a simulation with the given number of workers and no owner.
func newSimulation(t *testing.T, seed uint64, machines int) *simulation {
	s := &simulation{
		settings: testSettings(),
		t:        t, rng: rand.New(rand.NewPCG(seed, 1)), fleet: fleet.New(randomDurations(seed)),
		progress: make(map[job.ID]job.Progress), unreachable: make(map[external.WorkerID]bool), refusing: make(map[external.WorkerID]bool), expired: make(map[external.WorkerID]bool),
		stops:  make(map[StopReason]int),
		policy: &job.Policy{Accounts: []job.Account{{Name: "a", GuaranteedGPU: 16}}},
	}
	for n := range machines {
		s.fleet.Add(testWorker(n))
	}
	return s
}

// testWorker returns the n-th worker, on a rack of four workers. Data centres take turns.
func testWorker(n int) external.Worker {
	rack := fmt.Sprintf("r%d", n/4)
	return external.Worker{
		ID: external.WorkerID(fmt.Sprintf("w%02d", n)), Zone: fmt.Sprintf("d%d", n%testDataCentres), Pool: "p", Addr: fmt.Sprintf("10.0.0.%d:1", n),
		Capacity: job.Resources{CPU: 32000, MemMB: 64000, GPU: 8}, Labels: []string{"a", rack}, Rack: rack, StartedMS: 1,
	}
}

// schedule calls do after the given time.
func (s *simulation) schedule(d time.Duration, do func()) {
	s.scheduled++
	s.queue = append(s.queue, scheduledCall{at: s.now + d, number: s.scheduled, do: do})
}

func (s *simulation) instant() Instant { return Instant{Mono: s.now, UnixMS: s.now.Milliseconds()} }

// takeOver starts a new owner from what is durable. The previous one may go on for
// its grace time at most, as package core/term ensures.
func (s *simulation) takeOver() *testOwner {
	if len(s.owners) > 0 {
		previous := s.current()
		s.schedule(max(testSettings().PreviousOwnerGrace, previous.keepsUntil-s.now), func() { previous.halted = true })
	}
	o := &testOwner{term: int64(len(s.owners) + 1), unreachable: make(map[external.WorkerID]bool)}
	settings := s.settings
	if s.adjustSettings != nil {
		s.adjustSettings(&settings)
	}
	o.core = New(settings, o.term, s.policy, s.instant())
	s.storeTerm = o.term
	s.owners = append(s.owners, o)
	ev := Loaded{EarlierUntil: s.earlierUntil, Jobs: slices.Clone(s.jobs), Cancels: slices.Clone(s.cancels), Progress: make(map[job.ID]job.Progress)}
	for id, p := range s.progress {
		ev.Progress[id] = p
	}
	ev.Roster = slices.Clone(s.roster)
	if s.unreadRate > 0 {
		s.withholdJobs(o, &ev)
	}
	for _, m := range s.workers() {
		if m.ID == s.departedWorker || s.expired[m.ID] {
			continue
		}
		// An entry may be missing for a while because a worker's report was lost.
		if s.unlistedRate > 0 && s.rng.Float64() < s.unlistedRate {
			s.schedule(time.Duration(500+s.rng.IntN(2500))*time.Millisecond, func() { s.step(o, WorkerChanged{Worker: m}) })
			continue
		}
		ev.Workers = append(ev.Workers, m)
	}
	s.step(o, ev)
	s.step(o, DrainsChanged{DataCentres: slices.Clone(s.drained)})
	return o
}

func (s *simulation) workers() []external.Worker {
	var out []external.Worker
	for _, m := range s.fleet.Machines() {
		out = append(out, m.Worker)
	}
	return out
}

func (s *simulation) machine(n int) *fleet.Machine {
	return s.fleet.Machine(external.WorkerID(fmt.Sprintf("w%02d", n)))
}

func (s *simulation) current() *testOwner { return s.owners[len(s.owners)-1] }

func (s *simulation) step(o *testOwner, ev Event) {
	if o.halted {
		return
	}
	step := s.stepCore
	if step == nil {
		step = func(o *testOwner, now Instant, ev Event) []Action { return o.core.Step(now, ev) }
	}
	for _, a := range step(o, s.instant(), ev) {
		s.carryOut(o, a)
	}
}

func (s *simulation) submit(j job.Job) {
	j.SubmittedMS = s.now.Milliseconds()
	s.jobs = append(s.jobs, j)
	s.fleet.Submit(&j)
	s.schedule(5*time.Millisecond, func() {
		for _, o := range s.owners {
			if o == s.current() || s.now < o.readsUntil {
				s.step(o, Submitted{Job: j})
			}
		}
	})
}

func (s *simulation) cancel(id job.ID) {
	s.cancels = append(s.cancels, id)
	s.fleet.ForbidStarts(id, s.now+3*time.Second)
	s.schedule(5*time.Millisecond, func() { s.step(s.current(), CancelRequested{ID: id}) })
}

// run lets time pass, ticks all owners and confirms the current owner's term.
func (s *simulation) run(d time.Duration) {
	end := s.now + d
	for s.now < end {
		s.now += tickTime
		s.fleet.Advance(s.now)
		s.gangs.check(s)
		s.carryOutDue()
		if s.now%(50*time.Millisecond) == 0 {
			for _, o := range s.owners {
				s.step(o, Tick{})
			}
		}
		if s.now%(800*time.Millisecond) == 0 && !s.storeDown && !s.termUnconfirmed {
			s.step(s.current(), TermConfirmed{At: s.now})
		}
	}
}

// carryOutDue makes the scheduled calls that are due.
func (s *simulation) carryOutDue() {
	for {
		slices.SortFunc(s.queue, func(a, b scheduledCall) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.number, b.number)) })
		if len(s.queue) == 0 || s.queue[0].at > s.now {
			return
		}
		d := s.queue[0]
		s.queue = s.queue[1:]
		d.do()
	}
}

// runUntilDone runs until every job has ended. The test fails if that takes longer
// than limit.
func (s *simulation) runUntilDone(limit time.Duration) {
	s.t.Helper()
	for end := s.now + limit; s.now < end; {
		s.run(500 * time.Millisecond)
		open := 0
		for _, j := range s.jobs {
			if !s.ended(j.ID) {
				open++
			}
		}
		if open == 0 {
			return
		}
	}
	for _, j := range s.jobs {
		if !s.ended(j.ID) {
			s.t.Errorf("job %s has not ended: %+v", j.ID, s.current().core.Load())
		}
	}
}

func (s *simulation) ended(id job.ID) bool { return s.progress[id].Outcome != job.Open }

// violations returns what the fleet has seen that is forbidden.
func (s *simulation) violations() []string {
	return append(slices.Clone(s.fleet.Violations()), s.gangs.violations...)
}

// check fails the test if the fleet has seen anything forbidden, and logs the last
// reports of a failed test.
func (s *simulation) check() {
	s.t.Helper()
	for _, f := range s.violations() {
		s.t.Error(f)
	}
	if s.t.Failed() {
		for _, l := range s.reports[max(0, len(s.reports)-60):] {
			s.t.Log(l)
		}
	}
}

// oneStepJob returns a job with one step of count tasks.
func oneStepJob(id string, count int) job.Job {
	return job.Job{
		ID: job.ID(id), Account: "a", Spec: "s-" + id,
		Queue: job.Queue{Name: "q", Pool: "p", MaxTries: 3, Priority: 1, Stretch: 3, ObjectiveMS: 1000},
		Steps: []job.Step{{Count: count, CPU: 4000, MemMB: 4000, GPU: 1, EstimateMS: 1500, Checkpoints: true}},
	}
}
