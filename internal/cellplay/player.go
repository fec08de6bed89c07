package cellplay

import (
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// Times of a play.
const (
	// slice is how finely time moves, the stand-in fleet's own step.
	slice = 10 * time.Millisecond
	// tickEvery is how often the core sees the time.
	tickEvery = 50 * time.Millisecond
	// wayTime is a call's way to a worker or back, as between zones of a region.
	wayTime = 2 * time.Millisecond
	// writeTime is an append's way to the store and back.
	writeTime = 8 * time.Millisecond
	// settleTime is how long a play goes on after the last job arrived.
	settleTime = 10 * time.Minute
)

// settings are bounds like those of the programs; with one owner and no lost call
// their exact values decide nothing.
func settings() cell.Settings {
	return cell.Settings{
		Lease: fleet.LeaseMax - 50*time.Millisecond, StartGrace: 1800 * time.Millisecond, PreviousOwnerGrace: 3 * time.Second,
		RestoreTime: 600 * time.Millisecond, RemoteDataFactor: 1, OpenEarly: 250 * time.Millisecond, Retention: 2 * time.Minute,
	}
}

// player runs one core against the stand-in fleet.
type player struct {
	timeline
	trace Trace
	core  *cell.Core
	fleet *fleet.Fleet
	work  map[job.ID][]time.Duration
	tally *tally
	open  int
}

// Simulate plays a trace under an order to its end. The result is the same each time.
func Simulate(t Trace, o Ranking) Result {
	p := newPlayer(o.under(t))
	p.step(cell.Loaded{Workers: p.trace.Workers})
	for _, a := range p.trace.Jobs {
		p.after(a.At, func() { p.submit(a) })
	}
	for _, t := range p.trace.Faults {
		p.befall(t)
	}
	for p.now < p.trace.Params.ArrivalTime || p.open > 0 && p.now < p.trace.Params.ArrivalTime+settleTime {
		p.advance()
	}
	return p.tally.result(&t, o.Name, p.open, p.fleet.Faults())
}

func newPlayer(t Trace) *player {
	t.Policy.Index()
	p := &player{trace: t, work: make(map[job.ID][]time.Duration), tally: newTally(&t)}
	p.fleet = fleet.New(p.workOf)
	for _, w := range t.Workers {
		p.fleet.Add(w)
	}
	p.core = cell.New(settings(), 1, &p.trace.Policy, p.instant())
	return p
}

func (p *player) workOf(t job.TaskID, _ int64) (time.Duration, bool) {
	return p.work[t.Job][t.Step], false
}

func (p *player) instant() cell.Instant {
	return cell.Instant{Mono: p.now, UnixMS: p.now.Milliseconds()}
}

func (p *player) submit(a Arrival) {
	p.open++
	p.work[a.Job.ID] = a.RunTimes
	p.fleet.Submit(&a.Job)
	p.tally.submitted(&a)
	p.step(cell.Submitted{Job: a.Job})
}

// advance moves time on by one slice.
func (p *player) advance() {
	p.now += slice
	p.fleet.Advance(p.now)
	p.deliver()
	if p.now%tickEvery == 0 {
		p.step(cell.TermConfirmed{At: p.now})
		p.step(cell.Tick{})
		p.tally.sample(p.core.Load().Runs)
	}
}

func (p *player) step(ev cell.Event) {
	for _, a := range p.core.Step(p.instant(), ev) {
		p.do(a)
	}
}

// SimulateEach plays a trace under each of the orders.
func SimulateEach(t Trace, orders []Ranking) []Result {
	out := make([]Result, 0, len(orders))
	for _, o := range orders {
		out = append(out, Simulate(t, o))
	}
	return out
}
