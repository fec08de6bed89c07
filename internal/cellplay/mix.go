package cellplay

import (
	"time"

	"coltsfootmux/internal/job"
)

// pool is the one pool of a play.
const pool = "pool"

// Mix is the work of one user and the size of its workers.
type Mix struct {
	Name   string
	Kinds  []Kind
	Worker job.Resources
	// Rack is how many workers share a rack.
	Rack int
	// Accounts share the work evenly; Guaranteed is the share of the accelerators
	// that is guaranteed to them together.
	Accounts   []string
	Guaranteed float64
}

// Mixes gives all mixes.
func Mixes() []Mix { return []Mix{Cooperative(), Observatory()} }

// Cooperative gives the ordering service's work: urgent reservations, planning in
// gangs, and wide checks in the background.
func Cooperative() Mix {
	return Mix{
		Name: "cooperative", Rack: 8, Worker: job.Resources{CPU: 32_000, MemMB: 128 << 10, GPU: 8},
		Accounts: []string{"orders", "planning", "depots", "checks"}, Guaranteed: 0.6,
		Kinds: []Kind{
			{
				Queue: queue("dewar-reserve", 0, 1.5, 500*time.Millisecond), PerSecond: 0.033, Steps: 1, Width: 6,
				GPU: []int{1, 2, 4, 8}, CPU: 3700, MemMB: 16_000, Gang: true, Work: 2500 * time.Millisecond, Uneven: 0.3, EstimateOff: 0.2,
			},
			{
				Queue: queue("route-plan", 1, 3, 1200*time.Millisecond), PerSecond: 0.017, Steps: 1, Width: 9,
				GPU: []int{1, 2, 4}, CPU: 3700, MemMB: 16_000, Gang: true, Work: 6800 * time.Millisecond, Uneven: 0.15, EstimateOff: 0.5, Saves: 0.45,
			},
			{
				Queue: queue("standing-check", 2, 3, 3*time.Second), PerSecond: 0.01, Steps: 3, Width: 31,
				GPU: []int{1}, CPU: 2800, MemMB: 8200, Work: 9500 * time.Millisecond, Uneven: 0.3, EstimateOff: 0.9, Saves: 0.45,
			},
		},
	}
}

// LargeCooperative gives the ordering service's work on hundreds of workers: wider
// gangs and steps, and more of the urgent work.
func LargeCooperative() Mix {
	m := Cooperative()
	m.Name = "cooperative-large"
	reserve, plan, check := &m.Kinds[0], &m.Kinds[1], &m.Kinds[2]
	reserve.PerSecond, reserve.Width, reserve.GPU = 0.0178, 15, []int{1, 2, 4, 8, 8}
	plan.PerSecond, plan.Width, plan.GPU, plan.Work = 0.0031, 51, []int{1, 2, 4, 8, 8}, 8500*time.Millisecond
	check.PerSecond, check.Width, check.Steps, check.Work = 0.0031, 155, 2, 7600*time.Millisecond
	return m
}

// Observatory gives the rent index's work: urgent checks, recomputations in gangs,
// and sweeps.
func Observatory() Mix {
	return Mix{
		Name: "observatory", Rack: 8, Worker: job.Resources{CPU: 64_000, MemMB: 256 << 10, GPU: 8},
		Accounts: []string{"index", "districts", "listings", "analysts"}, Guaranteed: 0.6,
		Kinds: []Kind{
			{
				Queue: queue("listing-check", 0, 1.5, 500*time.Millisecond), PerSecond: 0.05, Steps: 1, Width: 5,
				GPU: []int{1, 2, 4, 8}, CPU: 7500, MemMB: 30_000, Gang: true, Work: 2500 * time.Millisecond, Uneven: 0.3, EstimateOff: 0.9,
			},
			{
				Queue: queue("district-recompute", 1, 3, 1200*time.Millisecond), PerSecond: 0.014, Steps: 1, Width: 7,
				GPU: []int{1, 2, 4}, CPU: 7500, MemMB: 30_000, Gang: true, Work: 11 * time.Second, Uneven: 0.3, EstimateOff: 0.9, Saves: 0.45,
			},
			{
				Queue: queue("listing-sweep", 2, 3, 3*time.Second), PerSecond: 0.022, Steps: 3, Width: 23,
				GPU: []int{1}, CPU: 5600, MemMB: 16_000, Work: 6100 * time.Millisecond, Uneven: 0.15, EstimateOff: 0.5, Saves: 0.45,
			},
		},
	}
}

// tries is how often a task may fail before its job has failed.
const tries = 4

func queue(name string, priority int, stretch float64, objective time.Duration) job.Queue {
	return job.Queue{
		Name: name, Pool: pool, MaxTries: tries, Priority: priority, Stretch: stretch, ObjectiveMS: objective.Milliseconds(),
	}
}
