package job

import "time"

// Step is a set of alike tasks.
type Step struct {
	Count int `cbor:"1,keyasint"`
	// CPU is in thousandths of a core.
	CPU   int `cbor:"2,keyasint,omitempty"`
	MemMB int `cbor:"3,keyasint,omitempty"`
	GPU   int `cbor:"4,keyasint,omitempty"`
	// EstimateMS is the caller's rough estimate of one task's run time.
	EstimateMS int `cbor:"5,keyasint,omitempty"`
	// After lists earlier steps that must have ended first.
	After       []int `cbor:"6,keyasint,omitempty"`
	Checkpoints bool  `cbor:"7,keyasint,omitempty"`
	// Gang tasks work only while all of them run, and end together.
	Gang bool `cbor:"8,keyasint,omitempty"`
	// SameRack tasks are slowed when they run on more than one rack.
	SameRack bool `cbor:"9,keyasint,omitempty"`
	// Label, if set, is a label that the worker must have.
	Label string `cbor:"10,keyasint,omitempty"`
	// DataRack, if set, is the rack on which the tasks run at full speed.
	DataRack string `cbor:"11,keyasint,omitempty"`
	// MaxPerWorker, if set, bounds the step's tasks on one worker.
	MaxPerWorker int `cbor:"12,keyasint,omitempty"`
	// Speculative tasks may run as several copies.
	Speculative bool `cbor:"13,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"14,keyasint,omitempty"`
	// MaxUnavailable, if set, is how many tasks of a long-running step may be away at
	// the same time by the product's own orders.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
	// LatencyTargetMS, if set, is the bound on a serving task's tail latency.
	LatencyTargetMS int `cbor:"17,keyasint,omitempty"`
	// BestEffortCPU marks tasks whose CPU is not counted against the worker's capacity.
	BestEffortCPU bool `cbor:"15,keyasint,omitempty"`
}

// Estimate gives the estimated run time of one task.
func (s *Step) Estimate() time.Duration { return time.Duration(s.EstimateMS) * time.Millisecond }

// Resources gives what one task takes of a worker.
func (s *Step) Resources() Resources {
	r := Resources{CPU: s.CPU, MemMB: s.MemMB, GPU: s.GPU}
	if s.BestEffortCPU {
		r.CPU = 0
	}
	return r
}
