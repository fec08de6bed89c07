package partitionsim

import (
	"fmt"
	"strconv"

	"coltsfootmux/internal/job"
)

// jobNumber returns the number of a job.
func jobNumber(id job.ID) uint64 {
	n, _ := strconv.ParseUint(string(id[1:]), 10, 64)
	return n
}

// submit lets a caller submit a job, if the store accepts it.
func (s *simulation) submit() {
	if s.net.storeDown != linkOK {
		return
	}
	s.submitJob(s.randomJob())
}

func (s *simulation) submitJob(j job.Job) {
	s.submitted = append(s.submitted, j)
	s.fleet.Submit(&j)
	s.tracef("job %s submitted, %d tasks", j.ID, j.Steps[0].Count)
	s.store.jobs.append(jobRecord{submitted: &j})
}

// cancel lets a caller cancel a job. The fleet is not told to forbid starts from then on: an
// owner that keeps its term without the store can't read the cancellation.
func (s *simulation) cancel() {
	if s.net.storeDown != linkOK || len(s.submitted) == 0 {
		return
	}
	s.store.jobs.append(jobRecord{cancelled: s.submitted[s.rng.IntN(len(s.submitted))].ID})
}

func (s *simulation) randomJob() job.Job {
	id := fmt.Sprintf("j%03d", len(s.submitted))
	j := job.Job{
		ID: job.ID(id), Account: "a", Spec: "s-" + id, SubmittedMS: s.now.Milliseconds(),
		Queue: job.Queue{Name: "q", Pool: "p", MaxTries: 50, Priority: s.rng.IntN(3), Stretch: 3, ObjectiveMS: 1000},
		Steps: []job.Step{{Count: 1 + s.rng.IntN(6), CPU: 4000, MemMB: 4000, GPU: []int{0, 1, 2, 4, 8}[s.rng.IntN(5)], EstimateMS: 1500, Checkpoints: s.chance(0.5)}},
	}
	step := &j.Steps[0]
	if s.chance(0.2) {
		step.Gang, step.GPU = true, min(step.GPU, 4)
	}
	if s.chance(0.2) {
		j.Steps = append(j.Steps, job.Step{Count: 2, CPU: 1000, MemMB: 10, EstimateMS: 300, After: []int{0}, MaxPerWorker: 1 + s.rng.IntN(2)})
	}
	return j
}
