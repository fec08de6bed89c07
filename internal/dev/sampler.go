package dev

import (
	"context"
	"sync"
	"time"

	"coltsfootmux/internal/wire"
)

// sampleEvery is how often the state of all cells is looked at.
const sampleEvery = 250 * time.Millisecond

// Sample is the state of all owned cells at one moment.
type Sample struct {
	// At is the time from the start of the sampling.
	At time.Duration
	// Fragmentation is the share of free accelerators that can't serve the
	// reference shape.
	Fragmentation float64
	// Used is the share of accelerators in use.
	Used float64
	// Owned is the number of cells that have an owner.
	Owned int
}

// Sampler looks at all schedulers again and again.
type Sampler struct {
	mu      sync.Mutex
	samples []Sample
}

// Run samples until ctx ends.
func (s *Sampler) Run(ctx context.Context, c *Cluster) {
	start := time.Now()
	t := time.NewTicker(sampleEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.add(summarize(time.Since(start), c.cells(ctx)))
		}
	}
}

func (s *Sampler) add(x Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, x)
}

// Samples gives what was seen so far.
func (s *Sampler) Samples() []Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Sample(nil), s.samples...)
}

// Fragmentation is the mean over time.
func (s *Sampler) Fragmentation() float64 {
	all := s.Samples()
	if len(all) == 0 {
		return 0
	}
	sum := 0.0
	for _, x := range all {
		sum += x.Fragmentation
	}
	return sum / float64(len(all))
}

// cells gives the view of every owned cell of every own host.
func (c *Cluster) cells(ctx context.Context) []wire.CellView {
	ctx, cancel := context.WithTimeout(ctx, sampleEvery)
	defer cancel()
	var out []wire.CellView
	for _, h := range c.Hosts {
		v, err := h.Scheduler.Scheduler.Overview(ctx)
		if err == nil {
			out = append(out, v.Cells...)
		}
	}
	return out
}

func summarize(at time.Duration, cells []wire.CellView) Sample {
	x := Sample{At: at, Owned: len(cells)}
	free, total, broken := 0, 0, 0.0
	for _, c := range cells {
		free += c.Free.Accelerators
		total += c.Total.Accelerators
		broken += c.Fragmentation * float64(c.Free.Accelerators)
	}
	if free > 0 {
		x.Fragmentation = broken / float64(free)
	}
	if total > 0 {
		x.Used = 1 - float64(free)/float64(total)
	}
	return x
}
