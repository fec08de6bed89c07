package cellplay

import (
	"testing"
	"time"

	"coltsfootmux/internal/standin/fleet"
)

// rejectingTrace draws a trace in which a tenth of the workers fail every task they
// are given for 6.5 s, and a job of 180 tasks arrives 0.2 s after that begins.
func rejectingTrace(workers int, seed uint64) Trace {
	m := LargeCooperative()
	t := Draw(&m, Params{Workers: workers, Load: 0.6, ArrivalPeriod: 6 * time.Second, Seed: seed})
	t.Faults = []WorkerFault{{At: 3 * time.Second, Duration: 6500 * time.Millisecond, Mode: fleet.Rejecting, Share: 0.1, Seed: seed}}
	wide, work := m.Kinds[2].drawJob(newRand(seed), "wide", m.Accounts[0])
	wide.Steps, wide.Queue.MaxTries = wide.Steps[:1], 3
	wide.Steps[0].Count = 180
	at := 3200 * time.Millisecond
	wide.SubmittedMS = at.Milliseconds()
	t.Jobs = append(t.Jobs, Arrival{At: at, Job: wide, RunTimes: work})
	return t
}

// TestWideJobSurvivesRejectingWorkers guards against a job that fails because its
// tasks are retried on other rejecting workers: a job of 180 tasks used up the three
// tries of one of them in 0.4 s, on three workers that failed every task.
func TestWideJobSurvivesRejectingWorkers(t *testing.T) {
	for seed := range uint64(*rejectSeeds) {
		r := Simulate(rejectingTrace(1100, seed), Rankings()[0])
		failed := 0
		for _, k := range r.Kinds {
			failed += k.Jobs - k.Done
		}
		if failed > 0 || r.Unfinished > 0 || len(r.Violations) > 0 {
			t.Errorf("seed %d: %d jobs failed, %d unfinished, violations %v", seed, failed, r.Unfinished, r.Violations)
		}
		if testing.Verbose() {
			t.Logf("seed %d: %d starts, %+v", seed, r.Starts, r.Kinds)
		}
	}
}

// BenchmarkLargeFleet simulates the large mix on 1,100 workers.
func BenchmarkLargeFleet(b *testing.B) {
	m := LargeCooperative()
	for b.Loop() {
		Simulate(Draw(&m, Params{Workers: 1100, Load: 1, ArrivalPeriod: 34 * time.Second, Seed: 1}), Rankings()[0])
	}
}
