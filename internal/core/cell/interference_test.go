package cell

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// interferenceSimulation returns a simulation whose tasks of image "db" take slowdown times
// as long beside one of image "scan". The image is the beginning of the job's ID.
func interferenceSimulation(t *testing.T, seed uint64, slowdown, threshold float64) *simulation {
	sim := newSimulation(t, seed, 16)
	sim.fleet = fleet.New(func(task job.TaskID, _ int64) (time.Duration, bool) {
		r := rand.New(rand.NewPCG(seed, uint64(task.Index)+uint64(len(task.Job))*64+hashID(task.Job)))
		mean := 1.2
		if isImage(task.Job, "scan") {
			mean = 3
		}
		return time.Duration(mean * math.Exp(0.3*r.NormFloat64()) * float64(time.Second)), false
	})
	sim.fleet.Slowdown = func(victim, neighbour job.TaskID) float64 {
		if isImage(victim.Job, "db") && isImage(neighbour.Job, "scan") {
			return slowdown
		}
		return 1
	}
	for n := range 16 {
		sim.fleet.Add(testWorker(n))
	}
	sim.adjustSettings = func(s *Settings) { s.InterferenceSlowdown = threshold }
	sim.takeOver()
	sim.run(200 * time.Millisecond)
	return sim
}

func hashID(id job.ID) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range []byte(id) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	return h
}

func isImage(id job.ID, image string) bool { return strings.HasPrefix(string(id), image) }

func imageJob(image string, n, tasks int) job.Job {
	j := oneStepJob(fmt.Sprintf("%s-%d", image, n), tasks)
	j.Queue.Priority, j.Steps[0].Image, j.Steps[0].Checkpoints = 2, image, false
	return j
}

// playMixedLoad submits jobs of both images for the given time, more at some times than at
// others, and returns the mean completion time of the "db" jobs of the second half.
func playMixedLoad(sim *simulation, seconds int) time.Duration {
	var late []job.ID
	for n := range seconds {
		busy := 8 + 4*(n/8%2)
		for k, image := range []string{"db", "scan"} {
			j := imageJob(image, n, busy/(k+1))
			if k == 0 && n >= seconds/2 {
				late = append(late, j.ID)
			}
			sim.submit(j)
		}
		sim.run(time.Second)
	}
	sim.runUntilDone(60 * time.Second)
	return sim.meanCompletion(late)
}

func (s *simulation) meanCompletion(ids []job.ID) time.Duration {
	var sum time.Duration
	for _, j := range s.jobs {
		if slices.Contains(ids, j.ID) {
			sum += time.Duration(s.progress[j.ID].EndedMS-j.SubmittedMS) * time.Millisecond
		}
	}
	return sum / time.Duration(len(ids))
}

// countReports returns the number of reported actions whose text contains part.
func (s *simulation) countReports(part string) int {
	n := 0
	for _, r := range s.reports {
		if strings.Contains(r, part) {
			n++
		}
	}
	return n
}

// Without the part, callers' jobs stay slow for as long as tasks that slow them are packed
// beside them.
func TestInterferingTasksAreFoundAndKeptApart(t *testing.T) {
	for seed := range uint64(5) {
		off := interferenceSimulation(t, seed, 2, 0)
		before := playMixedLoad(off, 60)
		on := interferenceSimulation(t, seed, 2, 1.25)
		after := playMixedLoad(on, 60)
		on.check()
		t.Logf("seed %d: mean completion %v, %v without the part; %d placements apart", seed, after, before, on.countReports("{}"))
		pairs := on.current().core.Overview().Interference
		if len(pairs) != 1 || pairs[0].Victim != "db" || pairs[0].Neighbour != "scan" {
			t.Errorf("seed %d: named %+v", seed, pairs)
		}
		if on.countReports("{}") == 0 || off.countReports("{}") != 0 || off.countReports("Named") != 0 {
			t.Errorf("seed %d: %d placements apart, %d without the part", seed, on.countReports("{}"), off.countReports("{}"))
		}
		if float64(after) > 0.85*float64(before) {
			t.Errorf("seed %d: mean completion %v with the part, %v without", seed, after, before)
		}
	}
}

// Tasks that were kept apart for ever would take room from each other for no reason.
func TestPairThatStopsInterferingIsForgotten(t *testing.T) {
	for seed := range uint64(3) {
		sim := interferenceSimulation(t, seed, 2, 1.25)
		playMixedLoad(sim, 40)
		c := sim.current().core
		if c.Load().InterferingPairs != 1 || c.Overview().Interference[0].Slowdown < 1.25 {
			t.Fatalf("seed %d: %+v, want one pair", seed, c.Overview().Interference)
		}
		sim.fleet.Slowdown = nil
		sim.run(125 * time.Second)
		if c.Load().InterferingPairs != 0 || sim.countReports("Named:false") == 0 {
			t.Errorf("seed %d: %+v after the end of the interference", seed, c.Overview().Interference)
		}
		sim.check()
	}
}

// Load that goes up and down, racks of slow workers, a neighbour that is bound to one of
// them and tasks of different lengths must not be taken for interference.
func TestNoPairIsNamedWithoutInterference(t *testing.T) {
	for seed := range uint64(100) {
		sim := interferenceSimulation(t, seed, 1, 1.25)
		for n := range 16 {
			sim.machine(n).Pace = []float64{1, 0.5}[n/4%2]
			if seed%2 == 1 && n/4 == 1 {
				sim.submit(boundScan(n))
			}
		}
		playMixedLoad(sim, 30)
		sim.check()
		if n := sim.countReports("Named:true"); n > 0 {
			t.Errorf("seed %d: %d pairs named", seed, n)
		}
	}
}

// boundScan returns a job of image "bound" with tasks one after another in the slow rack r1.
func boundScan(n int) job.Job {
	j := imageJob("bound", n, 2)
	j.Steps[0].Label = "r1"
	for k := range 4 {
		step := j.Steps[0]
		step.After = []int{k}
		j.Steps = append(j.Steps, step)
	}
	return j
}

// The earlier deployments, on which nothing interferes, must be scheduled as before.
func TestNothingChangesWithoutInterference(t *testing.T) {
	var starts [2][]external.StartOrder
	for k, threshold := range []float64{0, 1.25} {
		sim := interferenceSimulation(t, 7, 1, threshold)
		sim.onStart = func(o external.StartOrder) { starts[k] = append(starts[k], o) }
		playMixedLoad(sim, 20)
	}
	if len(starts[0]) == 0 || !slices.Equal(starts[0], starts[1]) {
		t.Errorf("%d starts without the part, %d other ones with it", len(starts[0]), len(starts[1]))
	}
}

// Urgent work that found room only beside tasks that slow it would wait if pairs were kept
// apart at any price.
func TestUrgentWorkTakesRoomBesideInterference(t *testing.T) {
	var waits []time.Duration
	for _, threshold := range []float64{0, 1.25} {
		sim := interferenceSimulation(t, 1, 2, threshold)
		playMixedLoad(sim, 30)
		if threshold > 0 && len(sim.current().core.Overview().Interference) == 0 {
			t.Fatal("no pair is named")
		}
		sim.submit(imageJob("scan", 1000, 16*7))
		sim.run(time.Second)
		urgent := imageJob("db", 1000, 16)
		urgent.Queue.Priority = 0
		started, began := time.Duration(0), sim.now
		sim.onStart = func(o external.StartOrder) {
			if o.Task.Job == urgent.ID {
				started = sim.now
			}
		}
		sim.submit(urgent)
		sim.runUntilDone(60 * time.Second)
		sim.check()
		waits = append(waits, started-began)
	}
	if waits[1] > waits[0] || waits[0] > 200*time.Millisecond {
		t.Errorf("last task waited %v, and %v without the part", waits[1], waits[0])
	}
}

// Serving tasks have no duration; what slows them shows in their latency only.
func TestInterferenceShowsInLatency(t *testing.T) {
	for _, slowdown := range []float64{1, 1.8} {
		sim := interferenceSimulation(t, 3, slowdown, 1.25)
		serving := servingJob("db-serving", 16)
		serving.Queue.Name, serving.Steps[0].MaxPerWorker = "serving", 1
		sim.submit(serving)
		for n := range 40 {
			sim.submit(imageJob("scan", n, 16))
			sim.run(1500 * time.Millisecond)
		}
		named := sim.countReports("Victim:serving Neighbour:scan")
		if want := slowdown > 1; (named > 0) != want {
			t.Errorf("slowdown %v: named %d times", slowdown, named)
		}
		sim.check()
	}
}

// A gang that avoided disturbance at any price would be spread over racks, or wait.
func TestGangAvoidsDisturbanceWithinItsRackOnly(t *testing.T) {
	sim := interferenceSimulation(t, 1, 2, 1.25)
	playMixedLoad(sim, 30)
	c := sim.current().core
	if len(c.interference.model.Conflicts("db")) == 0 {
		t.Fatal("no pair is named")
	}
	scan := imageJob("scan", 1000, 15)
	scan.Steps[0].MaxPerWorker = 1
	sim.submit(scan)
	sim.run(500 * time.Millisecond)
	gang := imageJob("db", 1000, 16)
	gang.Steps[0].Gang, gang.Steps[0].SameRack = true, true
	racks := make(map[string]bool)
	sim.onStart = func(o external.StartOrder) {
		if o.Task.Job == gang.ID {
			racks[sim.fleet.Machine(o.Worker).Rack] = true
		}
	}
	sim.submit(gang)
	sim.run(200 * time.Millisecond)
	if len(racks) != 1 {
		t.Errorf("gang started on racks %v, want one at once", racks)
	}
	sim.runUntilDone(60 * time.Second)
	sim.check()
}
