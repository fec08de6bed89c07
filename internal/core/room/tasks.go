package room

import "coltsfootmux/internal/job"

// Tasks returns how many tasks of the step fit into an amount of resources
// on one worker.
func Tasks(r job.Resources, s *job.Step) int {
	need := s.Resources()
	n := 1 << 30
	if need.CPU > 0 {
		n = min(n, r.CPU/need.CPU)
	}
	if need.MemMB > 0 {
		n = min(n, r.MemMB/need.MemMB)
	}
	if need.GPU > 0 {
		n = min(n, r.GPU/need.GPU)
	}
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker)
	}
	return max(n, 0)
}
