package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"coltsfootmux/internal/standin/fleet"
)

// Timing of faults.
const (
	meanFaultGap = 900 * time.Millisecond
	maxFaultTime = 4 * time.Second
	startupTime  = time.Second
)

// Report is the result of a soak.
type Report struct {
	Seed     uint64
	Jobs     int
	Accepted int
	Complete int
	// BurstJobs counts the jobs of the account that submits in bursts.
	BurstJobs      int
	OutcomeUnknown int
	Starts         int
	// InjectedFaults names the injected faults in order.
	InjectedFaults []string
	// Series names the series of planned work in order.
	Series []string
	// Partitions names the partitions of the network in order.
	Partitions []string
	// Unfit names the faults by which an owner could not do its work, with what came of each.
	Unfit []string
	// Stands tells how long work stood after the latest of these faults, or in all.
	Stands string
	// Violations lists the guarantees that were violated.
	Violations []string
}

// Run runs one soak. The error wraps ErrSetup.
func Run(o Options) (Report, error) {
	s, err := newTestbed(o)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	time.Sleep(startupTime)
	c := newCallers(s)
	r := Report{Seed: o.Seed}
	stopChecks := c.checkLiveness()
	until := time.Now().Add(o.LoadTime)
	var load sync.WaitGroup
	load.Go(func() { c.submitJobs(until) })
	load.Go(func() { r.BurstJobs = c.submitBursts(until) })
	if o.Unfit || o.UnfitAlone {
		load.Go(func() { r.Unfit = s.injectUnfit(until, c.liveness) })
	}
	if o.Pauses {
		load.Go(func() { r.Unfit = s.injectPauses(until, c.liveness) })
	}
	if o.Backlogs {
		load.Go(func() { r.Unfit = c.injectBacklogs(until) })
	}
	if o.PolicyEvery > 0 {
		load.Go(func() { s.changePolicy(until) })
	}
	if !o.calmLoad() {
		load.Go(func() { r.Series = s.injectSeries(until) })
		load.Go(func() { r.Partitions = s.injectPartitions(until) })
		r.InjectedFaults = s.injectFaults(until)
	}
	load.Wait()
	s.clearFaults()
	c.wg.Wait()
	c.awaitCompletion()
	stopChecks()
	c.checkOutcomes()
	r.Stands = c.liveness.summary()
	s.fleet.With(func(f *fleet.Fleet) {
		r.Starts = f.Starts
		r.Violations = append(r.Violations, f.Violations()...)
	})
	if _, largest, refused := s.store.Sizes(); refused > 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("%d appends were refused for their size, the largest record has %d bytes", refused, largest))
	}
	c.fillReport(&r)
	return r, nil
}

// checkLiveness checks that accepted work goes on, until the function that it returns is called.
func (c *callers) checkLiveness() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c.bed.calm.begin() // the start of all machines
	c.bed.calm.end()
	var checks sync.WaitGroup
	checks.Go(func() { c.liveness.run(ctx) })
	return func() {
		cancel()
		checks.Wait()
	}
}

// submitJobs submits jobs at random times until the load ends.
func (c *callers) submitJobs(until time.Time) {
	rng := rand.New(rand.NewPCG(c.bed.opts.Seed, 1))
	for n := uint64(0); time.Now().Before(until); n++ {
		c.wg.Add(1)
		go c.runCaller(rand.New(rand.NewPCG(c.bed.opts.Seed, 100+n)), steadyKey)
		time.Sleep(time.Duration(rng.ExpFloat64() / c.bed.opts.JobsPerSecond * float64(time.Second)))
	}
}

// injectFaults begins faults one after another. Each ends by itself, often after
// later ones have begun.
func (s *testbed) injectFaults(until time.Time) []string {
	var names []string
	var inForce sync.WaitGroup
	for time.Now().Before(until) {
		f := s.randomFault(s.rng)
		names = append(names, f.name)
		s.beginFault(f)
		duration := time.Duration(s.rng.Int64N(int64(maxFaultTime)))
		inForce.Go(func() {
			time.Sleep(duration)
			s.endFault(f)
		})
		time.Sleep(time.Duration(s.rng.Int64N(int64(2 * meanFaultGap))))
	}
	inForce.Wait()
	return names
}

// awaitCompletion queries the accepted jobs until each is complete or cancelled, or
// until SettleTime has passed.
func (c *callers) awaitCompletion() {
	rng := rand.New(rand.NewPCG(c.bed.opts.Seed, 2))
	for end := time.Now().Add(c.bed.opts.SettleTime); time.Now().Before(end); time.Sleep(retryDelay) {
		open := 0
		for _, j := range c.jobs {
			if j.accepted.IsZero() || j.cancelled || j.complete {
				continue
			}
			open++
			c.checkState(rng, j)
		}
		if open == 0 {
			return
		}
	}
}

// checkOutcomes compares the answers to callers with the tasks that ran.
func (c *callers) checkOutcomes() {
	started := make(map[string]bool)
	c.bed.fleet.With(func(f *fleet.Fleet) {
		for _, id := range f.StartedJobs() {
			started[string(id)] = true
		}
	})
	for _, j := range c.jobs {
		switch {
		case !j.accepted.IsZero() && !j.cancelled && !j.complete:
			c.violationf("accepted job %s is not complete", j.id)
		case j.accepted.IsZero() && !j.outcomeUnknown && started[j.id]:
			c.violationf("job %s was refused but ran", j.id)
		}
	}
}

func (c *callers) fillReport(r *Report) {
	r.Jobs = len(c.jobs)
	for _, j := range c.jobs {
		if !j.accepted.IsZero() {
			r.Accepted++
		}
		if j.complete {
			r.Complete++
		}
		if j.outcomeUnknown {
			r.OutcomeUnknown++
		}
	}
	r.Violations = append(r.Violations, c.violations...)
}
