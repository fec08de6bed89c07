package dev

import (
	"context"
	"slices"
	"sync"
	"time"

	"coltsfootmux/internal/report"
	"coltsfootmux/internal/wire"
)

// sampleInterval is the time between two samples. It is also the time limit for
// the queries of one sample.
const sampleInterval = 250 * time.Millisecond

// Sampler regularly records the state of the cells and client accounts as the
// schedulers report it.
type Sampler struct {
	mu      sync.Mutex
	samples []report.Sample
}

// Run takes samples of the cluster until ctx ends.
func (s *Sampler) Run(ctx context.Context, c *Cluster) {
	start := time.Now()
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.add(summarize(time.Since(start), c.overviews(ctx)))
		}
	}
}

func (s *Sampler) add(x report.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, x)
}

// Samples returns a copy of the samples taken so far.
func (s *Sampler) Samples() []report.Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]report.Sample(nil), s.samples...)
}

// MeanFragmentation returns the mean fragmentation over all samples, or 0 if
// there are none.
func (s *Sampler) MeanFragmentation() float64 {
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

// overviews returns the overviews of all schedulers that answer.
func (c *Cluster) overviews(ctx context.Context) []wire.Overview {
	ctx, cancel := context.WithTimeout(ctx, sampleInterval)
	defer cancel()
	var out []wire.Overview
	for _, h := range c.Hosts {
		v, err := h.Scheduler.Scheduler.Overview(ctx)
		if err == nil {
			out = append(out, v)
		}
	}
	return out
}

// summarize combines the schedulers' overviews into a sample. Fragmentation is the
// mean over cells, weighted by their free accelerators.
func summarize(at time.Duration, views []wire.Overview) report.Sample {
	x := report.Sample{At: at}
	free, total, weighted := 0, 0, 0.0
	for _, v := range views {
		for _, c := range v.Cells {
			free += c.Free.Accelerators
			total += c.Total.Accelerators
			weighted += c.Fragmentation * float64(c.Free.Accelerators)
		}
		x.OwnedCells += len(v.Cells)
		addAccounts(&x, v.Accounts)
	}
	if free > 0 {
		x.Fragmentation = weighted / float64(free)
	}
	if total > 0 {
		x.Used = 1 - float64(free)/float64(total)
	}
	return x
}

// addAccounts adds one scheduler's view of the client accounts to the sample.
func addAccounts(x *report.Sample, views []wire.AccountView) {
	for _, v := range views {
		i := slices.IndexFunc(x.Accounts, func(a report.Account) bool { return a.ID == v.ID })
		if i < 0 {
			x.Accounts = append(x.Accounts, report.Account{ID: v.ID})
			i = len(x.Accounts) - 1
		}
		x.Accounts[i].Guaranteed += v.Guaranteed.Accelerators
		x.Accounts[i].Used += v.Used.Accelerators
		x.Accounts[i].Lent += v.Lent.Accelerators
		x.Accounts[i].Waiting += v.Waiting
	}
}
