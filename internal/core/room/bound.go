package room

import "coltsfootmux/internal/job"

// Bound is an upper bound on what a set of workers can hold.
type Bound struct {
	// perWorker holds, for each resource, the largest amount on any worker.
	perWorker job.Resources
	// totalGPU is the number of accelerators of all workers.
	totalGPU int
}

// Add adds the free room of a worker.
func (b *Bound) Add(r job.Resources) {
	b.perWorker.CPU = max(b.perWorker.CPU, r.CPU)
	b.perWorker.MemMB = max(b.perWorker.MemMB, r.MemMB)
	b.perWorker.GPU = max(b.perWorker.GPU, r.GPU)
	b.totalGPU += max(r.GPU, 0)
}

// MayFit reports whether size tasks of a step may fit; false is certain.
func (b *Bound) MayFit(s *job.Step, size int) bool {
	need := s.Resources()
	return b.perWorker.Covers(need) && b.totalGPU >= size*need.GPU
}
