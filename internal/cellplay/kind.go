package cellplay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"coltsfootmux/internal/job"
)

// Kind describes one kind of job in a mix.
type Kind struct {
	Queue job.Queue
	// JobsPerSecond is the mean arrival rate for each worker of the fleet.
	JobsPerSecond float64
	// MaxSteps is the largest number of steps of a job; each step depends on the
	// previous one.
	MaxSteps int
	// MaxTasks is the largest number of tasks of a step.
	MaxTasks int
	// GPUChoices lists the possible numbers of accelerators of a job's tasks; one is
	// drawn for each job.
	GPUChoices []int
	// CPU is in thousandths of a core, MemMB in megabytes, both for each task.
	CPU   int
	MemMB int
	// Gang steps make progress only while all their tasks run.
	Gang bool
	// MeanRunTime is the mean run time of a task.
	MeanRunTime time.Duration
	// RunTimeSpread is how far the run times of steps deviate from MeanRunTime at
	// most, and EstimateError how far the caller's estimate deviates from the run
	// time, both as fractions.
	RunTimeSpread float64
	EstimateError float64
	// CheckpointShare is the fraction of the jobs whose tasks write checkpoints.
	CheckpointShare float64
	// SameRackShare is the fraction of the gangs that are slower on several racks, NearDataShare
	// that of the jobs whose steps are slower outside the rack of their data.
	SameRackShare float64
	NearDataShare float64
	// FailureShare is the fraction of the runs that fail, HopelessShare that of the jobs whose
	// runs all fail.
	FailureShare  float64
	HopelessShare float64
}

// drawJob returns a random job of the kind and the true run time of each of its
// steps.
func (k *Kind) drawJob(rng *rand.Rand, id job.ID, account string) (job.Job, []time.Duration) {
	j := job.Job{ID: id, Account: account, Queue: k.Queue, Spec: string(id)}
	var runTimes []time.Duration
	gpu, checkpoints := k.GPUChoices[rng.IntN(len(k.GPUChoices))], rng.Float64() < k.CheckpointShare
	for n := range 1 + rng.IntN(k.MaxSteps) {
		d := varied(rng, k.MeanRunTime, k.RunTimeSpread)
		s := job.Step{
			Count: 1 + rng.IntN(k.MaxTasks), CPU: k.CPU, MemMB: k.MemMB, GPU: gpu, Gang: k.Gang,
			EstimateMS: int(varied(rng, d, k.EstimateError).Milliseconds()), Checkpoints: checkpoints,
		}
		if n > 0 {
			s.After = []int{n - 1}
		}
		j.Steps = append(j.Steps, s)
		runTimes = append(runTimes, d)
	}
	return j, runTimes
}

// drawPlaces draws which racks the steps of a job depend on.
func (k *Kind) drawPlaces(rng *rand.Rand, j *job.Job, racks int) {
	near, same := rng.Float64() < k.NearDataShare, rng.Float64() < k.SameRackShare
	rack := rackName(rng.IntN(racks))
	for n := range j.Steps {
		j.Steps[n].SameRack = same && k.Gang
		if near {
			j.Steps[n].DataRack = rack
		}
	}
}

// drawFailureShare draws the fraction of a job's runs that fail.
func (k *Kind) drawFailureShare(rng *rand.Rand) float64 {
	if rng.Float64() < k.HopelessShare {
		return 1
	}
	return k.FailureShare
}

func rackName(n int) string { return fmt.Sprintf("rack%d", n) }

// varied returns a random time that differs from the mean by at most the fraction
// maxDeviation, but is at least a tenth of the mean.
func varied(rng *rand.Rand, mean time.Duration, maxDeviation float64) time.Duration {
	factor := max(0.1, 1+maxDeviation*(2*rng.Float64()-1))
	return time.Duration(float64(mean) * factor)
}
