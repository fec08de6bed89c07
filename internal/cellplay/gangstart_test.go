package cellplay

import (
	"testing"
	"time"

	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// gangPlay plays the start of a gang of two by an owner that runs late, against workers that do what it says.
type gangPlay struct {
	core *cell.Core
	now  cell.Instant
	// lag is how late the owner runs, way how long an answer takes.
	lag, way time.Duration
	due      []dueEvent
	// runs are the members that run, by worker, since when.
	runs map[external.WorkerID]memberRun
	// starts says what becomes of a start, loses whether a stop is lost.
	starts func(p *gangPlay, a cell.Start) (runs, answered bool)
	loses  func(a cell.Stop) bool
	// stops are the stops that were ordered.
	stops []cell.Stop
}

type dueEvent struct {
	at time.Duration
	ev func() cell.Event
}

type memberRun struct {
	task job.TaskID
	run  int64
	at   time.Duration
}

func newGangPlay(lag time.Duration) *gangPlay {
	p := &gangPlay{lag: lag, way: 20*time.Millisecond + lag, runs: make(map[external.WorkerID]memberRun)}
	p.now = cell.Instant{Mono: time.Hour, UnixMS: time.Hour.Milliseconds()}
	p.loses = func(cell.Stop) bool { return false }
	p.core = cell.New(settings(), 1, &job.Policy{Accounts: []job.Account{{Name: "a", GuaranteedGPU: 16}}}, p.now)
	var workers []external.Worker
	for _, id := range []external.WorkerID{"w0", "w1"} {
		workers = append(workers, external.Worker{ID: id, Pool: "p", Addr: string(id), Capacity: job.Resources{CPU: 8000, MemMB: 8000, GPU: 8}, StartedMS: 1})
	}
	p.step(cell.Loaded{Workers: workers})
	p.play(20*time.Second, func() bool { return false })
	return p
}

// run orders the gang and plays on for a time, or until done.
func (p *gangPlay) run(d time.Duration, done func() bool) {
	p.step(cell.Tick{Lag: p.lag})
	p.step(cell.Submitted{Job: job.Job{
		ID: "0123456789abcdef", Account: "a", Queue: job.Queue{Name: "q", Pool: "p", MaxTries: 3}, SubmittedMS: p.now.UnixMS,
		Steps: []job.Step{{Count: 2, CPU: 1000, MemMB: 10, GPU: 8, Gang: true, EstimateMS: 20000}},
	}})
	p.play(d, done)
}

// play plays on for a time, or until done.
func (p *gangPlay) play(d time.Duration, done func() bool) {
	const timeStep = 10 * time.Millisecond
	for end := p.now.Mono + d; p.now.Mono < end && !done(); {
		p.now.Mono += timeStep
		p.now.UnixMS += timeStep.Milliseconds()
		if p.now.Mono%(50*time.Millisecond) < timeStep {
			p.step(cell.TermConfirmed{At: p.now.Mono})
			p.step(cell.Tick{Lag: p.lag})
		}
		due := p.due
		p.due = nil
		for _, e := range due {
			if e.at > p.now.Mono {
				p.due = append(p.due, e)
				continue
			}
			p.step(e.ev())
		}
	}
}

func (p *gangPlay) answer(after time.Duration, ev func() cell.Event) {
	p.due = append(p.due, dueEvent{p.now.Mono + after, ev})
}

func (p *gangPlay) step(ev cell.Event) {
	for _, a := range p.core.Step(p.now, ev) {
		switch a := a.(type) {
		case cell.Start:
			p.start(a)
		case cell.Stop:
			p.stops = append(p.stops, a)
			if !p.loses(a) {
				p.answer(p.way, func() cell.Event {
					return cell.StopAnswered{Task: a.Order.Task, Run: a.Order.Run, Worker: a.Order.Worker}
				})
			}
		case cell.Hold:
			p.answer(a.Order.Wait+p.way, func() cell.Event {
				l := external.HoldResult{Clock: p.now.Mono, StartedMS: 1}
				if r, ok := p.runs[a.Order.Worker]; ok {
					l.Running = []external.ActiveRun{{Task: r.task, Run: r.run, Percent: int(p.now.Mono / (100 * time.Millisecond) % 100)}}
				}
				return cell.HoldAnswered{Worker: a.Order.Worker, Number: a.Number, Lists: l}
			})
		case cell.Persist:
			p.answer(p.way, func() cell.Event { return cell.Persisted{Batch: a.Batch} })
		}
	}
}

func (p *gangPlay) start(a cell.Start) {
	ev := cell.StartAnswered{Task: a.Order.Task, Run: a.Order.Run, Worker: a.Order.Worker}
	if p.now.Mono > a.SendBy {
		ev.Failure = cell.FailureNotSent
		p.answer(10*time.Millisecond, func() cell.Event { return ev })
		return
	}
	runs, answered := p.starts(p, a)
	if _, ok := p.runs[a.Order.Worker]; runs && !ok {
		p.runs[a.Order.Worker] = memberRun{a.Order.Task, a.Order.Run, p.now.Mono}
	}
	if answered {
		p.answer(p.way, func() cell.Event { return ev })
	}
}

// gangLags are the lags of the owner in these tests.
var gangLags = []time.Duration{0, 100 * time.Millisecond, 130 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond}

// TestMemberThatRunsAloneIsStoppedThoughAStopIsLost guards against a gang of which one member waits alone, as
// the stop of the other one is lost or repeated late.
func TestMemberThatRunsAloneIsStoppedThoughAStopIsLost(t *testing.T) {
	for _, lag := range gangLags {
		for _, ofRunning := range []bool{false, true} {
			p := newGangPlay(lag)
			var runner external.WorkerID
			p.starts = func(_ *gangPlay, a cell.Start) (runs, answered bool) {
				if runner == "" {
					runner = a.Order.Worker
				}
				return a.Order.Worker == runner, a.Order.Worker == runner
			}
			lost, stopped := false, time.Duration(0)
			p.loses = func(a cell.Stop) bool {
				if !lost && (a.Order.Worker == runner) == ofRunning {
					lost = true
					return true
				}
				if a.Order.Worker == runner && stopped == 0 {
					stopped = p.now.Mono
				}
				return false
			}
			p.run(fleet.GangTimeout+time.Second, func() bool { return stopped > 0 })
			if alone := stopped - p.runs[runner].at; stopped == 0 || alone > fleet.GangTimeout-p.way {
				t.Errorf("lag %v, stop of the running member lost: %v: it was stopped after %v", lag, ofRunning, alone)
			}
		}
	}
}

// TestCompleteGangIsNotStoppedForALostAnswer guards against gangs that are started and stopped again and
// again, as of many members one answer is lost.
func TestCompleteGangIsNotStoppedForALostAnswer(t *testing.T) {
	for _, lag := range gangLags {
		p := newGangPlay(lag)
		lost := false
		p.starts = func(*gangPlay, cell.Start) (runs, answered bool) {
			answered, lost = lost, true
			return true, answered
		}
		p.run(fleet.GangTimeout, func() bool { return false })
		if len(p.runs) != 2 {
			t.Errorf("lag %v: %d members run", lag, len(p.runs))
		}
		if len(p.stops) > 0 {
			t.Errorf("lag %v: %d stops, the first as %q", lag, len(p.stops), p.stops[0].Reason)
		}
	}
}
