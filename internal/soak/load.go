package soak

import (
	"math/rand/v2"
	"time"
)

// Keys of the accounts: one submits steadily, the other in bursts.
const (
	steadyKey = "key-1"
	burstKey  = "key-2"
)

const (
	meanBurstGap = 3 * time.Second
	// burstStream and burstCallers keep the random numbers of bursts apart from those of the
	// steady load, so that seeds give the same steady load and faults as before.
	burstStream  = 3
	burstCallers = 1 << 32
)

// switches turns on the parts of the program that act on scarce and uneven capacity only,
// with the values of deploy/system.toml.
var switches = []string{
	"COLTSFOOTMUX_ACCOUNT_OVERUSE=3", "COLTSFOOTMUX_WORKER_SPEED_RATIO=1.8",
	"COLTSFOOTMUX_INTERFERENCE_SLOWDOWN=1.25", "COLTSFOOTMUX_GANG_YIELD_RUN_TIMES=2",
}

// pace returns the speed of a worker. A quarter of the workers are about twice as fast as the
// others.
func pace(n int) float64 {
	if n%4 == 0 {
		return 1 / 0.55
	}
	return 1 / 1.2
}

// submitBursts submits bursts of jobs of one account until the load ends. Each has two to
// four times the jobs of a second of the steady load, at once. It returns their number.
func (c *callers) submitBursts(until time.Time) int {
	rng, jobs := rand.New(rand.NewPCG(c.bed.opts.Seed, burstStream)), 0
	for {
		time.Sleep(min(time.Duration(rng.ExpFloat64()*float64(meanBurstGap)), meanBurstGap))
		if time.Now().After(until) {
			return jobs
		}
		for range int((2 + 2*rng.Float64()) * c.bed.opts.JobsPerSecond) {
			c.wg.Add(1)
			go c.runCaller(rand.New(rand.NewPCG(c.bed.opts.Seed, burstCallers+uint64(jobs))), burstKey)
			jobs++
		}
	}
}
