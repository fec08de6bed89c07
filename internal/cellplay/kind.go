package cellplay

import (
	"math/rand/v2"
	"time"

	"coltsfootmux/internal/job"
)

// Kind describes one kind of job in a mix.
type Kind struct {
	Queue job.Queue
	// JobsPerSecond is the mean rate of arrivals for each worker of the fleet.
	JobsPerSecond float64
	// MaxSteps is the most steps of a job, each after the one before.
	MaxSteps int
	// MaxTasks bounds the tasks of a step.
	MaxTasks int
	// GPUChoices are the accelerators of a task; several are drawn from.
	GPUChoices []int
	// CPU is in thousandths of a core, MemMB in megabytes, for each accelerator.
	CPU   int
	MemMB int
	// Gang steps work only while all their tasks run.
	Gang bool
	// MeanRunTime is the mean run time of a task.
	MeanRunTime time.Duration
	// RunTimeSpread is how far the run times of a step's tasks differ, and EstimateOff how
	// far the caller's estimate is from them, both as shares.
	RunTimeSpread float64
	EstimateError float64
	// CheckpointShare is the share of jobs whose tasks write checkpoints.
	CheckpointShare float64
}

// draw makes a job of the kind, with the true run time of each of its steps.
func (k *Kind) draw(rng *rand.Rand, id job.ID, account string) (job.Job, []time.Duration) {
	j := job.Job{ID: id, Account: account, Queue: k.Queue, Spec: string(id)}
	var work []time.Duration
	gpu, saves := k.GPUChoices[rng.IntN(len(k.GPUChoices))], rng.Float64() < k.CheckpointShare
	for n := range 1 + rng.IntN(k.MaxSteps) {
		d := spread(rng, k.MeanRunTime, k.RunTimeSpread)
		s := job.Step{
			Count: 1 + rng.IntN(k.MaxTasks), CPU: k.CPU, MemMB: k.MemMB, GPU: gpu, Gang: k.Gang,
			EstimateMS: int(spread(rng, d, k.EstimateError).Milliseconds()), Checkpoints: saves,
		}
		if n > 0 {
			s.After = []int{n - 1}
		}
		j.Steps = append(j.Steps, s)
		work = append(work, d)
	}
	return j, work
}

// spread gives a time around a mean, at least a tenth of it.
func spread(rng *rand.Rand, mean time.Duration, share float64) time.Duration {
	f := max(0.1, 1+share*(2*rng.Float64()-1))
	return time.Duration(float64(mean) * f)
}
