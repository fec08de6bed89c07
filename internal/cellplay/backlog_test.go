package cellplay

import (
	"testing"
	"time"

	"coltsfootmux/internal/job"
)

// backlogTrace draws a trace in which a job of many small tasks arrives at 1 s, which fit onto two
// workers. All of them end while the store is away.
func backlogTrace(seed uint64) Trace {
	m := Cooperative()
	t := Draw(&m, Params{Workers: 16, Load: 0.3, ArrivalPeriod: 20 * time.Second, Seed: seed})
	small := job.Job{
		ID: "small", Account: m.Accounts[3], Queue: m.Kinds[2].Queue, Spec: "small", SubmittedMS: 1000,
		Steps: []job.Step{{Count: 1600, CPU: 30, MemMB: 50, EstimateMS: 8000}},
	}
	t.Jobs = append(t.Jobs, Arrival{At: time.Second, Job: small, RunTimes: []time.Duration{8 * time.Second}})
	t.Outages = []StoreOutage{{At: 8500 * time.Millisecond, Duration: 5 * time.Second}}
	return t
}

// TestDoneTasksAreNotRepeatedAfterAnOutage guards against tasks that are started again, as their ends
// are not among the 500 that a worker lists while the store is away, and against a long wait for
// the others once it is back.
func TestDoneTasksAreNotRepeatedAfterAnOutage(t *testing.T) {
	for seed := range uint64(*seeds) {
		r := Simulate(backlogTrace(seed), Rankings()[0])
		if r.Unfinished > 0 || len(r.Violations) > 0 {
			t.Errorf("seed %d: %d jobs unfinished, %d violations, the first %.1v", seed, r.Unfinished, len(r.Violations), r.Violations[:min(1, len(r.Violations))])
		}
	}
}
