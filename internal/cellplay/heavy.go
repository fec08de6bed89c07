package cellplay

import (
	"time"

	"coltsfootmux/internal/job"
)

// HeavyReserve returns the mix of deployment R of
// docs/SCARCE-AND-UNEVEN-CAPACITY.md, with so much work of the lowest priority that
// the pool is full.
func HeavyReserve() Mix {
	urgent := queue("urgent", 0, 1.5, 500*time.Millisecond)
	middle := queue("middle", 1, 3, 1200*time.Millisecond)
	low := queue("low", 2, 3, 3*time.Second)
	return Mix{
		Name: "heavy-reserve", WorkersPerRack: 8, WorkerCapacity: job.Resources{CPU: 64_000, MemMB: 256 << 10, GPU: 8},
		Accounts:        []string{"a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9"},
		GuaranteedShare: 0.9,
		Kinds: []Kind{
			{
				Queue: urgent, JobsPerSecond: 6.0 / 350, MaxSteps: 1, MaxTasks: 10, Gang: true, GPUChoices: []int{1, 2, 4, 8},
				CPU: 7500, MemMB: 22_000, MeanRunTime: 2500 * time.Millisecond, RunTimeSpread: 0.3, EstimateLogSpread: 0.9,
			},
			{
				Queue: middle, JobsPerSecond: 2.2 / 350, MaxSteps: 1, MaxTasks: 25, Gang: true, GPUChoices: []int{1, 2, 4, 8},
				CPU: 26_000, MemMB: 110_000, MeanRunTime: 6800 * time.Millisecond, RunTimeSpread: 0.3, EstimateError: 0.5, CheckpointShare: 0.45,
			},
			{
				Queue: low, JobsPerSecond: 4.2 / 350, MaxSteps: 1, MaxTasks: 77, GPUChoices: []int{1},
				CPU: 5600, MemMB: 16_000, MeanRunTime: 9500 * time.Millisecond, RunTimeSpread: 0.3, EstimateError: 0.5, TaskSpread: 0.25, CheckpointShare: 0.45,
			},
		},
	}
}
