package soak

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// mixedStream keeps the random numbers of the mixed load apart from those of all else.
const mixedStream = 12

// class is a class of jobs of the mixed load. Shares are of its jobs, but runFails, which is of
// the runs of its tasks.
type class struct {
	// weight is the class's share of all jobs, in percent.
	weight     int
	prefix     string
	maxTries   int
	advice     bool
	width      float64 // mean of the tasks of a step
	maxWidth   int
	cpu, memMB int
	gpus       []int
	work       time.Duration // mean of a task
	estOff     float64
	times      int
	interval   time.Duration
	// gang, sameRack and the like are shares of the jobs whose steps have the property. poison is
	// the share of which one task always fails.
	gang, sameRack, checkpoints, label, data, apart, steps, timed, poison float64
	runFails                                                              float64
}

// classes are jobs like those of a bank's batch service: wide gangs, urgent narrow gangs, wide
// steps of single tasks, and tasks that need advice.
var classes = [...]class{
	{
		weight: 19, prefix: "/q/", maxTries: 4, width: 4, maxWidth: 24, cpu: 13000, memMB: 34000, gpus: []int{1, 2, 4, 8, 8}, work: 1900 * time.Millisecond,
		estOff: 0.2, times: 4, interval: 2 * time.Second, timed: 0.15, gang: 1, sameRack: 0.6, checkpoints: 0.45, label: 0.3, steps: 0.3, runFails: 0.05, poison: 0.03,
	},
	{
		weight: 60, prefix: "/u/", maxTries: 4, width: 2.5, maxWidth: 10, cpu: 3700, memMB: 9800, gpus: []int{1, 2, 4, 8, 8}, work: 700 * time.Millisecond,
		estOff: 0.9, gang: 1, sameRack: 0.8, runFails: 0.005,
	},
	{
		weight: 15, prefix: "/f/", maxTries: 3, width: 10, maxWidth: 60, cpu: 2800, memMB: 7400, gpus: []int{1}, work: 2200 * time.Millisecond,
		estOff: 0.9, times: 4, interval: 2 * time.Second, timed: 0.15, checkpoints: 0.45, label: 0.12, data: 0.3, apart: 0.12, steps: 0.4, runFails: 0.05, poison: 0.03,
	},
	{
		weight: 6, prefix: "/a/", maxTries: 4, advice: true, width: 4, maxWidth: 10, cpu: 2000, memMB: 4000, gpus: []int{1}, work: time.Second,
		estOff: 0.5, data: 0.5, runFails: 0.02,
	},
}

const (
	// tailShare of the tasks work tailFactor times as long as the others, but no longer than longest.
	tailShare  = 0.03
	tailFactor = 7
	longest    = 4 * time.Second
	// shortest is the least work of a task.
	shortest = 50 * time.Millisecond
	// longestMean bounds the work of a job's tasks, as a multiple of the class's mean.
	longestMean = 2.5
	// gangShare is the part of the workers that may run a gang which it takes at most.
	gangShare = 0.25
)

// mixedJob is a job of the mixed load, and how its tasks run.
type mixedJob struct {
	class  *class
	poison bool
	// work is that of a task; longest bounds it for the tasks that work longer than the others.
	work    time.Duration
	longest time.Duration
	repeat  repetition
	steps   []stepBody
}

// drawMixed returns the job of a number.
func (s *testbed) drawMixed(number uint64) *mixedJob {
	rng := rand.New(rand.NewPCG(s.opts.Seed+mixedStream, number))
	c := drawClass(rng)
	has := func(share float64) bool { return rng.Float64() < share }
	scale := max(1, s.opts.WorkFactor)
	m := &mixedJob{class: c, poison: has(c.poison), longest: time.Duration(scale * float64(longest))}
	m.work = max(shortest, time.Duration(min(rng.ExpFloat64(), longestMean)*scale*float64(c.work)))
	if has(c.timed) {
		m.repeat = repetition{times: c.times, intervalMS: int(c.interval.Milliseconds())}
	}
	step := stepBody{
		CPU: c.cpu, MemMB: c.memMB, GPU: c.gpus[rng.IntN(len(c.gpus))], Gang: has(c.gang), SameRack: has(c.sameRack), Checkpoints: has(c.checkpoints),
		EstMS: max(1, int(float64(m.work.Milliseconds())*(1+c.estOff*(2*rng.Float64()-1)))),
	}
	if has(c.label) {
		step.RequiredLabel = workerKind(rng.IntN(workerKinds))
	}
	if has(c.data) {
		step.DataRack = s.rack(rng.IntN(len(s.workers)))
	}
	if has(c.apart) {
		step.MaxPerServer = 1 + rng.IntN(3)
	}
	step.Count = s.drawWidth(rng, c, step)
	m.steps = []stepBody{step}
	for has(c.steps) && len(m.steps) < 3 {
		step.Count, step.After = s.drawWidth(rng, c, step), []int{len(m.steps) - 1}
		m.steps = append(m.steps, step)
	}
	return m
}

func drawClass(rng *rand.Rand) *class {
	at := rng.IntN(100)
	for n := range classes {
		if at -= classes[n].weight; at < 0 {
			return &classes[n]
		}
	}
	return &classes[0]
}

// drawWidth returns a number of tasks. A gang fits onto a part of the workers that may run it.
func (s *testbed) drawWidth(rng *rand.Rand, c *class, step stepBody) int {
	scale := max(1, s.opts.WidthFactor)
	width := min(1+rng.ExpFloat64()*(c.width*scale-1), float64(c.maxWidth)*scale)
	if step.Gang {
		width = min(width, gangShare*float64(s.placesFor(step)))
	}
	return max(1, int(width))
}

// placesFor returns how many tasks of a step fit onto the idle workers.
func (s *testbed) placesFor(step stepBody) int {
	places := 0
	for n := range s.workers {
		if step.RequiredLabel != "" && step.RequiredLabel != s.kind(n) {
			continue
		}
		has := s.capacity()
		places += min(has.CPU/max(1, step.CPU), has.MemMB/max(1, step.MemMB), has.GPU/max(1, step.GPU))
	}
	return places
}

// plan returns how long a run of a task takes, and whether it fails.
func (m *mixedJob) plan(t job.TaskID, run int64) (time.Duration, bool) {
	task := hashRand(t, 0)
	work := time.Duration((0.8 + 0.4*task.Float64()) * float64(m.work))
	if task.Float64() < tailShare {
		work = max(work, min(work*tailFactor, m.longest))
	}
	each := hashRand(t, run)
	fails := each.Float64() < m.class.runFails
	if m.steps[t.Step].Gang {
		fails = fails && t.Index == 0
	}
	if m.poison && t.Step == 0 && t.Index == 0 {
		fails = true
	}
	if fails {
		work = time.Duration(each.Float64() * float64(work))
	}
	return work, fails
}

// hashRand returns random numbers that depend on a task and a number only.
func hashRand(t job.TaskID, number int64) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(t.String())) // writes to a hash never fail
	return rand.New(rand.NewPCG(h.Sum64(), uint64(number)))
}

// lastingTime returns when a run of a task without end fails; half of them never do.
func lastingTime(t job.TaskID, run int64) time.Duration {
	rng := hashRand(t, run)
	if rng.IntN(2) == 0 {
		return 0
	}
	return 2*time.Second + time.Duration(rng.Int64N(int64(18*time.Second)))
}

// Answers of the advice service.
const (
	adviceDecide = 150 * time.Millisecond
	adviceEach   = 4 * time.Millisecond
	ticketTime   = 2 * time.Second
)

// allowsHalf is an advice service that allows each step on about half of the workers.
func allowsHalf(step job.TaskID, id external.WorkerID) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(step.String() + string(id)))
	return rand.New(rand.NewPCG(h.Sum64(), 0)).IntN(2) == 0
}

// farFactor is how many times longer a task takes far away; machines have it in their settings.
const farFactor = 3

// setUpMixed has the fleet run the mixed load.
func (s *testbed) setUpMixed() {
	s.fleet.With(func(f *fleet.Fleet) {
		f.LastingTime, f.Allows, f.TicketTime, f.FarFactor = lastingTime, allowsHalf, ticketTime, farFactor
	})
}
