package cell

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

const speedRackSize = 12

// noisyWork gives the tasks of urgent jobs 2.1 s, those of others 6.5 s with a spread of
// 0.25 in the logarithm; it depends only on the task.
func noisyWork(t job.TaskID, _ int64) (time.Duration, bool) {
	if t.Job[0] == 'u' {
		return 2100 * time.Millisecond, false
	}
	h := fnv.New64a()
	fmt.Fprint(h, t.String())
	rng := rand.New(rand.NewPCG(h.Sum64(), 5))
	return time.Duration(6.5 * math.Exp(0.25*rng.NormFloat64()) * float64(time.Second)), false
}

// unevenSimulation returns a pool of four racks of twelve workers, of which paceOf gives
// the pace, with the given setting.
func unevenSimulation(t *testing.T, ratio float64, paceOf func(n int) float64) *simulation {
	sim := newSimulation(t, 21, 0)
	sim.settings.WorkerSpeedRatio = ratio
	sim.policy = &job.Policy{Accounts: []job.Account{{Name: "a", GuaranteedGPU: 200}}}
	sim.fleet = fleet.New(noisyWork)
	for n := range 4 * speedRackSize {
		w := testWorker(n)
		w.Rack = fmt.Sprintf("r%d", n/speedRackSize)
		w.Labels = []string{w.Rack}
		sim.fleet.Add(w).Pace = paceOf(n)
	}
	return sim
}

// quarterFast makes a quarter of the workers twice as fast as the others.
func quarterFast(n int) float64 {
	if n%4 == 1 {
		return 1.2
	}
	return 0.6
}

func lowJob(n int) job.Job {
	j := oneStepJob(fmt.Sprintf("low-%03d", n), 39)
	j.Account = "b"
	j.Queue = job.Queue{Name: "low", Pool: "p", MaxTries: 3, Priority: 2, Stretch: 3, ObjectiveMS: 3000}
	j.Steps[0].CPU, j.Steps[0].EstimateMS = 2800, 6500
	return j
}

func urgentGang(n int) job.Job {
	j := oneStepJob(fmt.Sprintf("urgent-%03d", n), 5)
	j.Queue = job.Queue{Name: "urgent", Pool: "p", MaxTries: 4, Priority: 0, Stretch: 1.5, ObjectiveMS: 500}
	j.Steps[0] = job.Step{Count: 5, CPU: 3700, MemMB: 9800, GPU: 1 + n%3, EstimateMS: 2100, Gang: true, SameRack: true}
	return j
}

// playUneven fills the pool with low work, then urgent gangs arrive. It returns how many of
// these were late, and the starts of each worker in order.
func playUneven(sim *simulation) (late int, starts []string) {
	sim.onStart = func(o external.StartOrder) {
		starts = append(starts, fmt.Sprint(sim.now, o.Task, o.Worker))
	}
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	low, urgent := 0, 0
	ended := make(map[job.ID]time.Duration)
	for tick := range 340 {
		if tick%6 == 0 && tick < 300 {
			sim.submit(lowJob(low))
			low++
		}
		if tick >= 100 && tick%8 == 0 && tick < 300 {
			sim.submit(urgentGang(urgent))
			urgent++
		}
		sim.run(100 * time.Millisecond)
		for _, j := range sim.jobs {
			if _, ok := ended[j.ID]; !ok && sim.ended(j.ID) {
				ended[j.ID] = sim.now
			}
		}
	}
	for _, j := range sim.jobs {
		if j.Queue.Priority != 0 {
			continue
		}
		at, ok := ended[j.ID]
		if !ok || at > time.Duration(j.SubmittedMS)*time.Millisecond+j.Objective() {
			late++
		}
	}
	sim.check()
	return late, starts
}

// Urgent gangs ran on slow workers while low work had the fast ones.
func TestUrgentGangsGoToFastWorkers(t *testing.T) {
	without, _ := playUneven(unevenSimulation(t, 0, quarterFast))
	sim := unevenSimulation(t, 1.8, quarterFast)
	with, _ := playUneven(sim)
	s := sim.current().core.Speeds()
	t.Logf("late urgent jobs: %d without, %d with speeds; ratio %.2f, %d known", without, with, s.Ratio, s.Known)
	if without < 5 || with > 0 {
		t.Errorf("%d of 25 urgent jobs were late without speeds, %d with; want 5 or more, and none", without, with)
	}
	if s.Ratio < 1.6 || s.Ratio > 2.6 {
		t.Errorf("ratio %.2f, want about 2", s.Ratio)
	}
}

// Ordinary differences between workers must not change any decision.
func TestOrdinaryDifferencesOfSpeedChangeNothing(t *testing.T) {
	ordinary := func(n int) float64 { return 1 / []float64{0.8, 1, 1.25}[n%3] }
	sim := unevenSimulation(t, 1.8, ordinary)
	_, with := playUneven(sim)
	_, without := playUneven(unevenSimulation(t, 0, ordinary))
	if len(with) != len(without) {
		t.Fatalf("%d starts with the setting, %d without", len(with), len(without))
	}
	for i := range with {
		if with[i] != without[i] {
			t.Fatalf("start %d: %s with the setting, %s without; %+v", i, with[i], without[i], sim.current().core.Speeds())
		}
	}
	if s := sim.current().core.Speeds(); s.Known < 16 {
		t.Errorf("only %d workers' speeds were learned", s.Known)
	}
}

// Work with slack took the fast workers first, so that urgent work had to stop it there.
func TestWorkWithSlackLeavesFastWorkersFree(t *testing.T) {
	sim := unevenSimulation(t, 1.8, quarterFast)
	c := openGate(sim)
	j := lowJob(1)
	j.Queue.Stretch = 6
	on := sim.startsOf(j)
	for _, w := range on {
		if c.workers[w].speedClass() == 0 {
			t.Errorf("a task with slack went to %s, which is fast", w)
		}
	}
	if len(on) != 39 {
		t.Errorf("%d tasks were started, want 39", len(on))
	}
}

// Work that only a fast worker completes in time went to a slow one.
func TestWorkWithoutSlackGoesToFastWorkers(t *testing.T) {
	sim := unevenSimulation(t, 1.8, quarterFast)
	c := openGate(sim)
	j := lowJob(1)
	j.Steps[0].Count, j.Queue.Stretch, j.Queue.ObjectiveMS = 8, 0.8, 0
	for _, w := range sim.startsOf(j) {
		if c.workers[w].speedClass() != 0 {
			t.Errorf("a task without slack went to %s, which is not fast", w)
		}
	}
}

// A gang with a member on a slow worker took fast workers for nothing, and a gang waited
// for a fast worker while slower ones were free.
func TestGangsAreNotMixed(t *testing.T) {
	sim := unevenSimulation(t, 1.8, quarterFast)
	c := openGate(sim)
	fits, large := urgentGang(0), urgentGang(1)
	fits.Steps[0].GPU, large.Steps[0].GPU = 4, 8
	for _, j := range []job.Job{fits, large} {
		on := sim.startsOf(j)
		if len(on) != 5 {
			t.Fatalf("%d members of %s were started", len(on), j.ID)
		}
		for _, w := range on {
			if fast := c.workers[w].speedClass() == 0; fast != (j.ID == fits.ID) {
				t.Errorf("a member of %s went to %s, fast: %v", j.ID, w, fast)
			}
		}
	}
}

// openGate takes over an idle pool whose workers' speeds are known.
func openGate(sim *simulation) *Core {
	for n, m := range sim.fleet.Machines() {
		percent := 120
		if quarterFast(n) > 1 {
			percent = 55
		}
		sim.roster = append(sim.roster, RosterEntry{ID: m.ID, Addr: m.Addr, SpeedPercent: percent})
	}
	sim.takeOver()
	sim.run(1500 * time.Millisecond)
	c := sim.current().core
	if !c.speedPool("p").Open {
		sim.t.Fatalf("the gate is closed: %+v", c.Speeds())
	}
	return c
}

// startsOf submits a job and returns the workers on which its tasks are started at once.
func (s *simulation) startsOf(j job.Job) []external.WorkerID {
	var on []external.WorkerID
	s.onStart = func(o external.StartOrder) {
		if o.Task.Job == j.ID {
			on = append(on, o.Worker)
		}
	}
	s.submit(j)
	s.run(200 * time.Millisecond)
	return on
}

// Workers whose speeds change while calls are lost, owners replaced and gates opened must
// not make the cell break what holds without speeds.
func TestInvariantsHoldWhileSpeedsAreUsed(t *testing.T) {
	var sims []*simulation
	for seed := range uint64(100) {
		err := runRandomScenario(t, 5000+seed, scenario{crashes: seed%2 == 0, prepare: func(s *simulation) {
			s.settings.WorkerSpeedRatio = 1.2
			for n, m := range s.fleet.Machines() {
				m.Pace = []float64{0.5, 1, 1.8}[n%3]
			}
			sims = append(sims, s)
		}})
		if err != "" {
			t.Fatal(err)
		}
	}
	opened := 0
	for _, s := range sims {
		for _, r := range s.reports {
			if strings.Contains(r, "Open:true Ratio:") {
				opened++
			}
		}
	}
	if opened < 20 {
		t.Errorf("gates opened %d times in 100 scenarios; the test needs at least 20", opened)
	}
}
