package share

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// load is the work of one priority: jobs a second, tasks of a job, seconds and cores of a
// task without accelerators, and the largest number of accelerators of a task.
type load struct {
	jobsPerSecond, tasks, seconds, cores float64
	accelerators                         int
}

// heavyDay is the load of a heavy day of 350 workers. The pool is smaller than these, so that
// work waits for most of the day.
var heavyDay = []load{{7.8, 5.4, 2.1, 3.7, 8}, {2.3, 13, 5.8, 13, 8}, {1.8, 39, 6.5, 2.8, 1}}

const (
	poolAccelerators = 200 * 8
	poolCores        = 200 * 32
	testDay          = 34 * time.Second
	testStep         = 50 * time.Millisecond
)

// task is a waiting or running task of a toyPool.
type task struct {
	account, job string
	priority     int
	accelerators int
	cores        float64
	length       time.Duration
	arrived, end time.Duration
}

// toyPool starts tasks by priority, then arrival, wherever the pool has room as a whole.
type toyPool struct {
	waiting, running []task
	accelerators     int
	cores            float64
	jobs             int
}

func (p *toyPool) advance(now time.Duration) {
	p.running = slices.DeleteFunc(p.running, func(t task) bool {
		if t.end <= now {
			p.accelerators += t.accelerators
			p.cores += t.cores
		}
		return t.end <= now
	})
	slices.SortStableFunc(p.waiting, func(a, b task) int { return a.priority - b.priority })
	p.waiting = slices.DeleteFunc(p.waiting, func(t task) bool {
		if t.accelerators > p.accelerators || t.cores > p.cores {
			return false
		}
		p.accelerators -= t.accelerators
		p.cores -= t.cores
		t.end = now + t.length
		p.running = append(p.running, t)
		return true
	})
}

// arrive adds the jobs of one step; factor multiplies the usual rate.
func (p *toyPool) arrive(rng *rand.Rand, now time.Duration, priority int, factor float64, account func() string) {
	l := heavyDay[priority]
	for range poisson(rng, l.jobsPerSecond*factor*testStep.Seconds()) {
		name, accelerators := account(), 1+rng.IntN(l.accelerators)
		p.jobs++
		for range 1 + poisson(rng, l.tasks-1) {
			p.waiting = append(p.waiting, task{
				account: name, job: strconv.Itoa(p.jobs), priority: priority, accelerators: accelerators, cores: l.cores, arrived: now,
				length: time.Duration(l.seconds * math.Exp(0.3*rng.NormFloat64()) * float64(time.Second)),
			})
		}
	}
}

func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for p := rng.Float64(); p > math.Exp(-mean); n++ {
		p *= rng.Float64()
	}
	return n
}

// usage returns what the running jobs use, and what waits.
func (p *toyPool) usage(now time.Duration) (uses []Use, waiting []Waiting) {
	at := make(map[string]int)
	for _, t := range p.running {
		n, ok := at[t.job]
		if !ok {
			n = len(uses)
			at[t.job] = n
			uses = append(uses, Use{Account: t.account, Job: t.job})
		}
		uses[n].Cores += t.cores + 8*float64(t.accelerators)
	}
	for _, t := range p.waiting {
		waiting = append(waiting, Waiting{Account: t.account, Class: Class{"p", t.priority}, For: now - t.arrived})
	}
	return uses, waiting
}

// playDay plays a heavy day with ten accounts whose demands have the given spread, and
// returns for how long at least one account was over its share, and for how long work waited.
func playDay(seed uint64, spread float64) (over, waited time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	guarantees, demand, sum := alike(10), make([]float64, 10), 0.0
	for n := range demand {
		demand[n] = math.Exp(spread * rng.NormFloat64())
		sum += demand[n]
	}
	account := func() string {
		x, n := rng.Float64()*sum, 0
		for ; n < len(demand)-1 && x > demand[n]; n++ {
			x -= demand[n]
		}
		return fmt.Sprintf("a%d", n)
	}
	p := &toyPool{accelerators: poolAccelerators, cores: poolCores}
	a := New(0)
	a.SetGuarantees(guarantees)
	burst, bursting := time.Duration(5+rng.IntN(20))*time.Second, rng.IntN(len(heavyDay))
	for now := time.Duration(0); now < testDay; now += testStep {
		for priority := range heavyDay {
			factor := 1.0
			if priority == bursting && now >= burst && now < burst+5*time.Second {
				factor = 2.3
			}
			p.arrive(rng, now, priority, factor, account)
		}
		p.advance(now)
		uses, waiting := p.usage(now)
		a.Update(now, uses, poolCores+8*poolAccelerators)
		a.Decide(now, testOveruse, waiting)
		if a.Over() > 0 {
			over += testStep
		}
		if len(waiting) > 0 {
			waited += testStep
		}
	}
	return over, waited
}

// Guards against a switch that acts where accounts differ by chance only: their order would
// change with each large job.
func TestNoAccountIsOverItsShareByChance(t *testing.T) {
	longest := time.Duration(0)
	for seed := range uint64(20) {
		over, waited := playDay(seed, 0.3)
		longest = max(longest, over)
		if over > 500*time.Millisecond {
			t.Errorf("seed %d: accounts were over their share for %v of %v", seed, over, testDay)
		}
		if waited < testDay/3 {
			t.Errorf("seed %d: work waited only for %v", seed, waited)
		}
	}
	t.Logf("accounts were over their share for %v at most", longest)
}

// Guards against a switch that is quiet because it never acts.
func TestUnevenAccountsAreFound(t *testing.T) {
	found := 0
	for seed := range uint64(20) {
		if over, _ := playDay(seed, 1.2); over > time.Second {
			found++
		}
	}
	t.Logf("an account was over its share on %d of 20 days", found)
	if found < 5 {
		t.Errorf("an account was over its share on %d of 20 days", found)
	}
}
