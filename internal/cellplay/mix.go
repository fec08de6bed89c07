package cellplay

import (
	"time"

	"coltsfootmux/internal/job"
)

// pool is the only pool of a simulation.
const pool = "pool"

// Mix describes the jobs of one user and the size of the user's workers.
type Mix struct {
	Name           string
	Kinds          []Kind
	WorkerCapacity job.Resources
	WorkersPerRack int
	// Accounts submit equal shares of the jobs. GuaranteedShare is the fraction of
	// all accelerators that is guaranteed to them together.
	Accounts        []string
	GuaranteedShare float64
	// RemoteDataFactor is how many times longer tasks take outside their rack, as far as the
	// core knows; 0 for 1. GangYieldRunTimes is the core's setting.
	RemoteDataFactor  float64
	GangYieldRunTimes float64
}

// Mixes returns the mixes for small fleets.
func Mixes() []Mix { return []Mix{Cooperative(), Observatory()} }

// Cooperative returns the ordering service's mix: urgent reservations, route
// planning in gangs, and background checks of many tasks.
func Cooperative() Mix {
	return Mix{
		Name: "cooperative", WorkersPerRack: 8, WorkerCapacity: job.Resources{CPU: 32_000, MemMB: 128 << 10, GPU: 8},
		Accounts: []string{"orders", "planning", "depots", "checks"}, GuaranteedShare: 0.6,
		Kinds: []Kind{
			{
				Queue: queue("dewar-reserve", 0, 1.5, 500*time.Millisecond), JobsPerSecond: 0.033, MaxSteps: 1, MaxTasks: 6,
				GPUChoices: []int{1, 2, 4, 8}, CPU: 3700, MemMB: 16_000, Gang: true, MeanRunTime: 2500 * time.Millisecond, RunTimeSpread: 0.3, EstimateError: 0.2,
			},
			{
				Queue: queue("route-plan", 1, 3, 1200*time.Millisecond), JobsPerSecond: 0.017, MaxSteps: 1, MaxTasks: 9,
				GPUChoices: []int{1, 2, 4}, CPU: 3700, MemMB: 16_000, Gang: true, MeanRunTime: 6800 * time.Millisecond, RunTimeSpread: 0.15, EstimateError: 0.5, CheckpointShare: 0.45,
			},
			{
				Queue: queue("standing-check", 2, 3, 3*time.Second), JobsPerSecond: 0.01, MaxSteps: 3, MaxTasks: 31,
				GPUChoices: []int{1}, CPU: 2800, MemMB: 8200, MeanRunTime: 9500 * time.Millisecond, RunTimeSpread: 0.3, EstimateError: 0.9, CheckpointShare: 0.45,
			},
		},
	}
}

// LargeCooperative returns the ordering service's mix for hundreds of workers: it
// has larger gangs and steps, and a larger part of the jobs is urgent.
func LargeCooperative() Mix {
	m := Cooperative()
	m.Name = "cooperative-large"
	reserve, plan, check := &m.Kinds[0], &m.Kinds[1], &m.Kinds[2]
	reserve.JobsPerSecond, reserve.MaxTasks, reserve.GPUChoices = 0.0178, 15, []int{1, 2, 4, 8, 8}
	plan.JobsPerSecond, plan.MaxTasks, plan.GPUChoices, plan.MeanRunTime = 0.0031, 51, []int{1, 2, 4, 8, 8}, 8500*time.Millisecond
	check.JobsPerSecond, check.MaxTasks, check.MaxSteps, check.MeanRunTime = 0.0031, 155, 2, 7600*time.Millisecond
	return m
}

// Observatory returns the rent index's mix: urgent checks, recomputations in gangs,
// and sweeps.
func Observatory() Mix {
	return Mix{
		Name: "observatory", WorkersPerRack: 8, WorkerCapacity: job.Resources{CPU: 64_000, MemMB: 256 << 10, GPU: 8},
		Accounts: []string{"index", "districts", "listings", "analysts"}, GuaranteedShare: 0.6,
		Kinds: []Kind{
			{
				Queue: queue("listing-check", 0, 1.5, 500*time.Millisecond), JobsPerSecond: 0.05, MaxSteps: 1, MaxTasks: 5,
				GPUChoices: []int{1, 2, 4, 8}, CPU: 7500, MemMB: 30_000, Gang: true, MeanRunTime: 2500 * time.Millisecond, RunTimeSpread: 0.3, EstimateError: 0.9,
			},
			{
				Queue: queue("district-recompute", 1, 3, 1200*time.Millisecond), JobsPerSecond: 0.014, MaxSteps: 1, MaxTasks: 7,
				GPUChoices: []int{1, 2, 4}, CPU: 7500, MemMB: 30_000, Gang: true, MeanRunTime: 11 * time.Second, RunTimeSpread: 0.3, EstimateError: 0.9, CheckpointShare: 0.45,
			},
			{
				Queue: queue("listing-sweep", 2, 3, 3*time.Second), JobsPerSecond: 0.022, MaxSteps: 3, MaxTasks: 23,
				GPUChoices: []int{1}, CPU: 5600, MemMB: 16_000, MeanRunTime: 6100 * time.Millisecond, RunTimeSpread: 0.15, EstimateError: 0.5, CheckpointShare: 0.45,
			},
		},
	}
}

// Lending returns the mix of a lending service: wide gangs that want one rack or the rack of
// their data, runs that fail now and then, and some jobs that always fail.
func Lending() Mix {
	return Mix{
		Name: "lending", WorkersPerRack: 12, WorkerCapacity: job.Resources{CPU: 32_000, MemMB: 64 << 10, GPU: 8},
		Accounts: []string{"east", "west", "north", "south", "centre"}, GuaranteedShare: 0.62,
		RemoteDataFactor: 3, GangYieldRunTimes: 2,
		Kinds: []Kind{
			{
				Queue: queue("credit-check", 0, 1.5, 500*time.Millisecond), JobsPerSecond: 0.022, MaxSteps: 1, MaxTasks: 10,
				GPUChoices: []int{1, 2, 4, 8, 8}, CPU: 3700, MemMB: 9800, Gang: true, MeanRunTime: 2100 * time.Millisecond, RunTimeSpread: 0.3, EstimateError: 0.9,
				SameRackShare: 0.8, FailureShare: 0.005,
			},
			{
				Queue: queue("portfolio-review", 1, 3, 1200*time.Millisecond), JobsPerSecond: 0.0065, MaxSteps: 1, MaxTasks: 26,
				GPUChoices: []int{1, 2, 4, 8, 8}, CPU: 13_000, MemMB: 34_000, Gang: true, MeanRunTime: 5800 * time.Millisecond, RunTimeSpread: 0.3, EstimateError: 0.2, CheckpointShare: 0.45,
				SameRackShare: 0.6, NearDataShare: 0.3, FailureShare: 0.005, HopelessShare: 0.03,
			},
			{
				Queue: queue("rescore", 2, 3, 3*time.Second), JobsPerSecond: 0.0051, MaxSteps: 2, MaxTasks: 78,
				GPUChoices: []int{1}, CPU: 2800, MemMB: 7400, MeanRunTime: 6500 * time.Millisecond, RunTimeSpread: 0.3, EstimateError: 0.9, CheckpointShare: 0.45,
				NearDataShare: 0.12, FailureShare: 0.05, HopelessShare: 0.03,
			},
		},
	}
}

// maxTries is how often a task is tried before its job fails.
const maxTries = 4

func queue(name string, priority int, stretch float64, objective time.Duration) job.Queue {
	return job.Queue{
		Name: name, Pool: pool, MaxTries: maxTries, Priority: priority, Stretch: stretch, ObjectiveMS: objective.Milliseconds(),
	}
}
