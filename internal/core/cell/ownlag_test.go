package cell

import (
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootmux/internal/job"
)

// TestPassesLeaveTheProcessorToCalls guards against an owner whose placement passes take all of its
// processor: with 12,700 waiting tasks they took two thirds of it, and answers were read a second late.
func TestPassesLeaveTheProcessorToCalls(t *testing.T) {
	const took, span = 30 * time.Millisecond, 3 * time.Second
	c := fullCell(50, 200)
	now, before := c.now, c.Passes()
	for end := now.Mono + span; now.Mono < end; now.Mono += 5 * time.Millisecond {
		c.termConfirmedAt = now.Mono
		made := c.Passes()
		c.Step(now, Submitted{Job: oneStepJob("late"+now.Mono.String(), 4)})
		if c.Passes() != made {
			c.PassTook(took)
			now.Mono += took
		}
	}
	inPasses := time.Duration(c.Passes()-before) * took
	if inPasses > span*3/10 {
		t.Errorf("%v of %v in passes", inPasses, span)
	}
	if c.Passes()-before < 10 {
		t.Errorf("%d passes in %v", c.Passes()-before, span)
	}
}

// TestOrdersAreNotMadeAgainBesideOwnLag guards against orders that are made again because their answers
// wait here to be read; they made the owner later still.
func TestOrdersAreNotMadeAgainBesideOwnLag(t *testing.T) {
	for name, c := range map[string]struct {
		lag   time.Duration
		again bool
	}{
		"in time":     {0, true},
		"runs late":   {200 * time.Millisecond, false},
		"a bit later": {20 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			core := fullCell(4, 0)
			w := core.fleet[0]
			r := &run{task: w.runs[0].task, worker: w, state: runStopping, stopSentAt: core.now.Mono}
			r.attach()
			now := core.now
			now.Mono += 400 * time.Millisecond
			again := false
			for _, a := range core.Step(now, Tick{Lag: c.lag}) {
				_, stop := a.(Stop)
				again = again || stop
			}
			if again != c.again {
				t.Errorf("made again: %v", again)
			}
		})
	}
}

// TestWorkDoesNotStandForLagInAHalfEmptyPool guards against jobs that have nothing running beside free
// workers, as an owner that runs late keeps the window of its starts for urgent work.
func TestWorkDoesNotStandForLagInAHalfEmptyPool(t *testing.T) {
	for name, c := range map[string]struct {
		busy   int
		starts int
	}{
		"idle pool": {0, 64},
		"busy pool": {60, 16},
	} {
		t.Run(name, func(t *testing.T) {
			core := fullCell(100, 0)
			for n, w := range core.fleet {
				if n >= c.busy {
					for _, r := range w.runs {
						w.used = w.used.Minus(r.resources)
					}
					w.runs = nil
				} else {
					w.used.CPU = w.Capacity.CPU
				}
			}
			now := core.now
			now.Mono += time.Second
			core.termConfirmedAt = now.Mono
			core.Step(now, Tick{Lag: 300 * time.Millisecond})
			j := oneStepJob("wide", 200)
			j.Queue.Priority = 2
			starts := 0
			now.Mono += time.Second
			core.termConfirmedAt = now.Mono
			for _, a := range core.Step(now, Submitted{Job: j}) {
				if _, ok := a.(Start); ok {
					starts++
				}
			}
			if starts != c.starts {
				t.Errorf("%d starts, want %d", starts, c.starts)
			}
		})
	}
}

// TestBusyPoolDoesNotEndPassForIdlePool guards against jobs that stand beside the free workers of their
// pool, as the pass of an owner that runs late ends at the work of another pool that is busy.
func TestBusyPoolDoesNotEndPassForIdlePool(t *testing.T) {
	const busy, kept = 60, 6
	core := fullCell(100, 0)
	for n, w := range core.fleet {
		left := w.runs[:kept]
		if n >= busy {
			w.Pool, left = "idle", nil
		}
		for _, r := range w.runs[len(left):] {
			w.used = w.used.Minus(r.resources)
		}
		w.runs = left
	}
	now := core.now
	core.Step(now, Tick{Lag: 300 * time.Millisecond})
	last := oneStepJob("idle", 20)
	last.Queue.Pool, last.Queue.Priority = "idle", 2
	started := make(map[job.ID]int)
	for _, j := range []job.Job{oneStepJob("busy", 100), oneStepJob("busy2", 100), last} {
		core.nextPlacement = now.Mono + time.Second // all jobs wait for one pass
		core.Step(now, Submitted{Job: j})
	}
	now.Mono += time.Second
	core.termConfirmedAt = now.Mono
	for _, a := range core.Step(now, Tick{Lag: 300 * time.Millisecond}) {
		if s, ok := a.(Start); ok {
			started[s.Order.Task.Job]++
		}
	}
	if started["idle"] != 20 || started["busy"] == 0 {
		t.Errorf("starts: %v", started)
	}
}

// TestInvariantsHoldForOwnersThatRunLate runs scenarios with owners that run late by up to a second, for
// spans of time, and whose placement passes take up to 60 ms. Late orders and late judgement of silence
// must bring no second run of a task.
func TestInvariantsHoldForOwnersThatRunLate(t *testing.T) {
	for seed := range uint64(randomScenarios) {
		rng := rand.New(rand.NewPCG(seed, 50))
		o := scenario{cuts: true, crashes: seed%2 == 0, recurring: seed%3 == 0}
		o.prepare = func(s *simulation) { s.keptOwners, s.confirmedOwners = seed%4 == 0, seed%4 == 1 }
		var late, until time.Duration
		o.stepCore = func(o *testOwner, now Instant, ev Event) []Action {
			if now.Mono >= until {
				late, until = time.Duration(rng.Int64N(int64(time.Second))), now.Mono+time.Duration(rng.Int64N(int64(2*time.Second)))
				if rng.IntN(2) == 0 {
					late = 0
				}
			}
			if _, ok := ev.(Tick); ok {
				ev = Tick{Lag: late}
			}
			passes := o.core.Passes()
			actions := o.core.Step(now, ev)
			if o.core.Passes() != passes && late > 0 {
				o.core.PassTook(time.Duration(rng.Int64N(int64(60 * time.Millisecond))))
			}
			return actions
		}
		if err := runRandomScenario(t, seed, o); err != "" {
			t.Fatal(err)
		}
	}
}
