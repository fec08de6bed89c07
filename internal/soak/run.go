package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"coltsfootmux/internal/standin/fleet"
)

// Times of faults.
const (
	faultGap  = 900 * time.Millisecond
	faultTime = 4 * time.Second
	startTime = time.Second
)

// Report is what a soak found.
type Report struct {
	Seed           uint64
	Jobs           int
	Accepted       int
	Complete       int
	OutcomeUnknown int
	Starts         int
	// InjectedFaults names the faults in their order.
	InjectedFaults []string
	// Violations are the promises that were broken.
	Violations []string
}

// Run makes one soak. The error wraps ErrSetup.
func Run(o Options) (Report, error) {
	s, err := newSite(o)
	if err != nil {
		return Report{}, err
	}
	defer s.close()
	time.Sleep(startTime)
	c := newCallers(s)
	r := Report{Seed: o.Seed}
	until := time.Now().Add(o.LoadTime)
	var load sync.WaitGroup
	load.Go(func() { c.send(until) })
	r.InjectedFaults = s.series(until)
	load.Wait()
	s.heal()
	c.wg.Wait()
	c.settle()
	c.check()
	s.fleet.With(func(f *fleet.Fleet) {
		r.Starts = f.Starts
		r.Violations = append(r.Violations, f.Violations()...)
	})
	c.report(&r)
	return r, nil
}

// send sends jobs at random times until the load ends.
func (c *callers) send(until time.Time) {
	rng := rand.New(rand.NewPCG(c.s.o.Seed, 1))
	for n := uint64(0); time.Now().Before(until); n++ {
		c.wg.Add(1)
		go c.one(rand.New(rand.NewPCG(c.s.o.Seed, 100+n)))
		time.Sleep(time.Duration(rng.ExpFloat64() / c.s.o.JobsPerSecond * float64(time.Second)))
	}
}

// series makes faults one after the other; each ends by itself, often after
// later ones have begun.
func (s *site) series(until time.Time) []string {
	var names []string
	var open sync.WaitGroup
	for time.Now().Before(until) {
		f := s.draw(s.rng)
		names = append(names, f.name)
		f.begin()
		lasts := time.Duration(s.rng.Int64N(int64(faultTime)))
		open.Go(func() {
			time.Sleep(lasts)
			f.end()
		})
		time.Sleep(time.Duration(s.rng.Int64N(int64(2 * faultGap))))
	}
	open.Wait()
	return names
}

// settle asks for every accepted job until it is complete or the time is up.
func (c *callers) settle() {
	rng := rand.New(rand.NewPCG(c.s.o.Seed, 2))
	for end := time.Now().Add(c.s.o.SettleTime); time.Now().Before(end); time.Sleep(tryPause) {
		open := 0
		for _, o := range c.orders {
			if o.accepted.IsZero() || o.cancelled || o.complete {
				continue
			}
			open++
			c.ask(rng, o)
		}
		if open == 0 {
			return
		}
	}
}

// check compares what callers were told with what ran.
func (c *callers) check() {
	started := make(map[string]bool)
	c.s.fleet.With(func(f *fleet.Fleet) {
		for _, id := range f.StartedJobs() {
			started[string(id)] = true
		}
	})
	for _, o := range c.orders {
		switch {
		case !o.accepted.IsZero() && !o.cancelled && !o.complete:
			c.fault("accepted job %s has not ended", o.id)
		case o.accepted.IsZero() && !o.unclear && started[o.id]:
			c.fault("job %s was refused and ran", o.id)
		}
	}
}

func (c *callers) report(r *Report) {
	r.Jobs = len(c.orders)
	for _, o := range c.orders {
		if !o.accepted.IsZero() {
			r.Accepted++
		}
		if o.complete {
			r.Complete++
		}
		if o.unclear {
			r.OutcomeUnknown++
		}
	}
	r.Violations = append(r.Violations, c.faults...)
}
