package job

import "time"

// Step is a set of identical tasks.
type Step struct {
	// Count is the number of tasks.
	Count int `cbor:"1,keyasint"`
	// CPU is in thousandths of a core.
	CPU   int `cbor:"2,keyasint,omitempty"`
	MemMB int `cbor:"3,keyasint,omitempty"`
	GPU   int `cbor:"4,keyasint,omitempty"`
	// EstimateMS is the caller's rough estimate of the run time of one task.
	EstimateMS int `cbor:"5,keyasint,omitempty"`
	// After lists the earlier steps that must be complete before this one starts.
	After []int `cbor:"6,keyasint,omitempty"`
	// Checkpoints says that the tasks save checkpoints.
	Checkpoints bool `cbor:"7,keyasint,omitempty"`
	// Gang says that the tasks make progress only while all of them run, and end
	// together.
	Gang bool `cbor:"8,keyasint,omitempty"`
	// SameRack says that the tasks are slower when they run on more than one rack.
	SameRack bool `cbor:"9,keyasint,omitempty"`
	// Label, if set, is a label that the worker must have.
	Label string `cbor:"10,keyasint,omitempty"`
	// DataRack, if set, is the rack on which the tasks run at full speed.
	DataRack string `cbor:"11,keyasint,omitempty"`
	// MaxPerWorker, if set, limits the number of the step's tasks on one worker.
	MaxPerWorker int `cbor:"12,keyasint,omitempty"`
	// Speculative says that a task may run as several copies at once.
	Speculative bool `cbor:"13,keyasint,omitempty"`
	// LongRunning says that the tasks run until the job is cancelled.
	LongRunning bool `cbor:"14,keyasint,omitempty"`
	// MaxUnavailable, if set, is how many tasks of a long-running step may be
	// unavailable, for any reason, once the scheduler has stopped one of them.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
	// LatencyTargetMS, if set, marks serving tasks and limits their tail latency.
	LatencyTargetMS int `cbor:"17,keyasint,omitempty"`
	// BestEffortCPU says that the tasks' CPU is not counted against the worker's
	// capacity.
	BestEffortCPU bool `cbor:"15,keyasint,omitempty"`
	// Image names the program that the tasks run. Tasks of one image behave alike.
	Image string `cbor:"18,keyasint,omitempty"`
}

// Estimate returns the estimated run time of one task.
func (s *Step) Estimate() time.Duration { return time.Duration(s.EstimateMS) * time.Millisecond }

// Resources returns the amount of a worker's capacity that one task takes.
func (s *Step) Resources() Resources {
	r := Resources{CPU: s.CPU, MemMB: s.MemMB, GPU: s.GPU}
	if s.BestEffortCPU {
		r.CPU = 0
	}
	return r
}
