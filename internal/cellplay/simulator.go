package cellplay

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/shed"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// Times of a simulation.
const (
	// timeStep is the resolution of virtual time, the same as the stand-in fleet's.
	timeStep = 10 * time.Millisecond
	// tickInterval is the time between two ticks of the core.
	tickInterval = 50 * time.Millisecond
	// oneWayLatency is the latency of a call or an answer between the owner and a
	// worker, as between zones of a region.
	oneWayLatency = 2 * time.Millisecond
	// appendLatency is the time that the store takes to answer an append.
	appendLatency = 8 * time.Millisecond
	// drainTimeout is how long a simulation waits for unfinished jobs after the last
	// arrival.
	drainTimeout = 10 * time.Minute
)

// settings returns values similar to those of the programs. With a single owner and
// no lost calls, their exact values don't affect the result.
func settings() cell.Settings {
	return cell.Settings{
		Lease: fleet.MaxLease - 50*time.Millisecond, StartGrace: 1800 * time.Millisecond, PreviousOwnerGrace: 3 * time.Second,
		GangTimeout: fleet.GangTimeout, RestoreTime: 600 * time.Millisecond, RemoteDataFactor: 1, OpenEarly: 250 * time.Millisecond, Retention: 2 * time.Minute,
	}
}

// settings returns the core's settings for the trace.
func (s *simulator) settings() cell.Settings {
	out := settings()
	if s.trace.RemoteDataFactor > 0 {
		out.RemoteDataFactor = s.trace.RemoteDataFactor
	}
	out.GangYieldRunTimes = s.trace.GangYieldRunTimes
	return out
}

// simulator runs one core against the stand-in fleet.
type simulator struct {
	timeline
	cpu      processor
	trace    Trace
	core     *cell.Core
	fleet    *fleet.Fleet
	runTimes map[job.ID][]time.Duration
	// failureShares holds, by job, the fraction of its runs that fail.
	failureShares map[job.ID]float64
	tally         *tally
	standing      *standing
	acceptance    acceptance
	unfinished    int
}

// Simulate runs a trace under a ranking until all its jobs have ended or
// drainTimeout has passed. It is deterministic.
func Simulate(t Trace, r Ranking) Result {
	s := newSimulator(r.applyTo(t))
	s.step(cell.Loaded{Workers: s.trace.Workers})
	for _, a := range s.trace.Jobs {
		s.after(a.At, func() { s.submit(a) })
	}
	for _, t := range s.trace.Faults {
		s.injectFault(t)
	}
	for _, d := range s.trace.Slowdowns {
		s.injectSlowdown(d)
	}
	for s.now < s.trace.Params.ArrivalPeriod || s.unfinished > 0 && s.now < s.trace.Params.ArrivalPeriod+s.drainTime() {
		s.advance()
	}
	out := s.tally.result(&t, r.Name, s.unfinished, append(s.fleet.Violations(), s.aloneRuns()...))
	out.Standing = s.standing.result()
	out.IncompleteGangs = s.fleet.IncompleteGangs
	return out
}

// aloneRuns describes the runs that ended as the rest of their gang did not start. No fault excuses one, as
// all calls reach their workers in time.
func (s *simulator) aloneRuns() []string {
	var out []string
	for _, a := range s.fleet.TakeAlone() {
		out = append(out, fmt.Sprintf("%v: %v run %d on %s ended alone, %v after its gang was left in part", a.EndedAt, a.Task, a.Run, a.Worker, a.EndedAt-a.Since))
	}
	return out
}

// drainTime returns how long the simulation waits for unfinished jobs.
func (s *simulator) drainTime() time.Duration {
	if s.trace.Params.DrainTime > 0 {
		return s.trace.Params.DrainTime
	}
	return drainTimeout
}

func newSimulator(t Trace) *simulator {
	t.Policy.Index()
	t.indexPriorities()
	s := &simulator{trace: t, cpu: processor{speed: t.Params.ProcessorSpeed}, runTimes: make(map[job.ID][]time.Duration), failureShares: make(map[job.ID]float64), tally: newTally(&t), standing: newStanding(&t)}
	s.fleet = fleet.New(s.runTimeOf)
	for _, w := range t.Workers {
		s.fleet.Add(w)
	}
	s.acceptance.controller = shed.NewController(0, 0)
	s.core = cell.New(s.settings(), 1, &s.trace.Policy, s.instant())
	return s
}

// runTimeOf returns how long a run takes, and whether it fails at the end of that time.
func (s *simulator) runTimeOf(t job.TaskID, run int64) (time.Duration, bool) {
	d := s.runTimes[t.Job][t.Step]
	if share := s.failureShares[t.Job]; share > 0 {
		hash := fnv.New64a()
		_, _ = fmt.Fprintf(hash, "%v %d", t, run)
		rng := rand.New(rand.NewPCG(s.trace.Params.Seed, hash.Sum64()))
		if rng.Float64() < share {
			return time.Duration(rng.Float64() * float64(d)), true
		}
	}
	return d, false
}

func (s *simulator) instant() cell.Instant {
	return cell.Instant{Mono: s.now, UnixMS: s.now.Milliseconds()}
}

func (s *simulator) submit(a Arrival) {
	if s.refuses(&a.Job) {
		s.tally.addRefused(&a)
		return
	}
	s.unfinished++
	s.runTimes[a.Job.ID] = a.RunTimes
	s.failureShares[a.Job.ID] = a.FailureShare
	s.standing.submitted(a.Job.ID)
	s.fleet.Submit(&a.Job)
	s.tally.addJob(&a)
	s.due(cell.Submitted{Job: a.Job}, answerCost)
}

// advance moves virtual time forward by one time step.
func (s *simulator) advance() {
	s.now += timeStep
	s.fleet.Advance(s.now)
	s.runDue()
	s.cpu.run(s.now)
	if s.now%tickInterval == 0 {
		late := s.cpu.observe(s.now)
		s.cpu.spend(s.now, s.step(cell.TermConfirmed{At: s.now}))
		s.cpu.spend(s.now, s.step(cell.Tick{Lag: late}))
		s.adjustAcceptance()
		s.tally.addSample(s.core.Load().Runs)
		s.standing.check(s.now, s.fleet)
	}
}

// due queues an event that costs processor time before the core gets it.
func (s *simulator) due(ev cell.Event, cost time.Duration) {
	s.cpu.add(s.now, func() time.Duration { return cost + s.step(ev) })
}

// step passes an event to the core at once, and returns the processor time that the step takes.
func (s *simulator) step(ev cell.Event) time.Duration {
	examined, passes := s.core.Examined(), s.core.Passes()
	actions := s.core.Step(s.instant(), ev)
	cost := stepCost + time.Duration(s.core.Examined()-examined)*lookCost
	if s.core.Passes() != passes {
		s.core.PassTook(s.cpu.timeFor(cost))
	}
	for _, a := range actions {
		s.perform(a)
	}
	return cost
}

// SimulateEach runs a trace under each of the rankings.
func SimulateEach(t Trace, rankings []Ranking) []Result {
	out := make([]Result, 0, len(rankings))
	for _, r := range rankings {
		out = append(out, Simulate(t, r))
	}
	return out
}
