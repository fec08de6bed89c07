package soak

import (
	"fmt"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// Capacity of each worker, and of each worker under the mixed load.
var (
	workerCapacity      = job.Resources{CPU: 8000, MemMB: 8000, GPU: 4}
	mixedWorkerCapacity = job.Resources{CPU: 32000, MemMB: 65536, GPU: 8}
)

const (
	// rackSize is the number of workers in a rack, and largeRackSize that under the mixed load if
	// there are largeFleet workers.
	rackSize      = 4
	largeRackSize = 12
	largeFleet    = 96
	// workerKinds is the number of kinds of workers under the mixed load.
	workerKinds = 2
)

func (s *testbed) capacity() job.Resources {
	if s.opts.Mixed {
		return mixedWorkerCapacity
	}
	return workerCapacity
}

func workerName(n int) external.WorkerID { return external.WorkerID(fmt.Sprintf("i-%02d", n)) }

// dataCentre returns the data centre of a worker; there are two.
func dataCentre(n int) string { return fmt.Sprintf("z%d", n%2) }

// rack returns the label of a worker's rack.
func (s *testbed) rack(n int) string {
	if s.opts.Mixed && s.opts.Workers >= largeFleet {
		return fmt.Sprintf("r%d", n/largeRackSize)
	}
	return fmt.Sprintf("r%d", n/rackSize)
}

// workerKind returns the label of a kind of workers.
func workerKind(kind int) string { return string(rune('a' + kind)) }

// kind returns the label of a worker's kind. Under the mixed load every third is of the second.
func (s *testbed) kind(n int) string {
	if s.opts.Mixed && n%3 == 2 {
		return workerKind(1)
	}
	return workerKind(0)
}
