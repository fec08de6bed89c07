package dev

import (
	"context"
	"slices"
	"sync"
	"time"

	"coltsfootmux/internal/report"
	"coltsfootmux/internal/wire"
)

// sampleEvery is how often the state of all cells is looked at.
const sampleEvery = 250 * time.Millisecond

// Sampler looks at all schedulers again and again.
type Sampler struct {
	mu      sync.Mutex
	samples []report.Sample
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
			s.add(summarize(time.Since(start), c.views(ctx)))
		}
	}
}

func (s *Sampler) add(x report.Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, x)
}

// Samples gives what was seen so far.
func (s *Sampler) Samples() []report.Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]report.Sample(nil), s.samples...)
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

// views gives what every own host's scheduler owns and sees.
func (c *Cluster) views(ctx context.Context) []wire.Overview {
	ctx, cancel := context.WithTimeout(ctx, sampleEvery)
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

func summarize(at time.Duration, views []wire.Overview) report.Sample {
	x := report.Sample{At: at}
	free, total, broken := 0, 0, 0.0
	for _, v := range views {
		for _, c := range v.Cells {
			free += c.Free.Accelerators
			total += c.Total.Accelerators
			broken += c.Fragmentation * float64(c.Free.Accelerators)
		}
		x.OwnedCells += len(v.Cells)
		addAccounts(&x, v.Accounts)
	}
	if free > 0 {
		x.Fragmentation = broken / float64(free)
	}
	if total > 0 {
		x.Used = 1 - float64(free)/float64(total)
	}
	return x
}

// addAccounts adds one scheduler's accounts to a sample's.
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
