package cellplay

import (
	"flag"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"
	"time"
)

var seeds = flag.Int("cell-seeds", 1, "number of seeds with which each mix is simulated")

var rejectSeeds = flag.Int("reject-seeds", 4, "number of seeds for the test of workers that reject tasks")

func newRand(n uint64) *rand.Rand { return rand.New(rand.NewPCG(n, 1)) }

func smallTrace(m *Mix, seed uint64) Trace {
	return Draw(m, Params{Workers: 16, Load: 1, ArrivalPeriod: time.Minute, Seed: seed})
}

func TestEveryJobEndsWithoutViolations(t *testing.T) {
	for _, m := range Mixes() {
		for seed := range uint64(*seeds) {
			rs := SimulateEach(smallTrace(&m, seed), Rankings())
			for _, r := range rs {
				if r.Unfinished > 0 || len(r.Violations) > 0 {
					t.Errorf("%s under %s, seed %d: %d jobs unfinished, violations %v", m.Name, r.Ranking, seed, r.Unfinished, r.Violations)
				}
			}
			if testing.Verbose() {
				WriteTable(os.Stdout, rs)
			}
		}
	}
}

func TestSimulationIsDeterministic(t *testing.T) {
	m := Cooperative()
	o := Rankings()[0]
	if a, b := Simulate(smallTrace(&m, 3), o), Simulate(smallTrace(&m, 3), o); !reflect.DeepEqual(a, b) {
		t.Errorf("two simulations of the same trace differ:\n%+v\n%+v", a, b)
	}
}

func TestUrgentJobsWaitLessThanInOneClass(t *testing.T) {
	for _, m := range Mixes() {
		trace := Draw(&m, Params{Workers: 16, Load: 1.5, ArrivalPeriod: time.Minute, Seed: 7})
		byName := make(map[string]Result)
		for _, r := range SimulateEach(trace, Rankings()) {
			byName[r.Ranking] = r
		}
		urgent := m.Kinds[0].Queue.Name
		standard, flat := byName["standard"].kindResult(urgent), byName["one-class"].kindResult(urgent)
		if standard.WaitP99 >= flat.WaitP99 {
			t.Errorf("%s: 99th percentile of the wait is %v, want less than %v in one class", urgent, standard.WaitP99, flat.WaitP99)
		}
	}
}

func (r Result) kindResult(name string) KindResult {
	for _, k := range r.Kinds {
		if k.Kind == name {
			return k
		}
	}
	return KindResult{}
}

func TestTraceDependsOnlyOnSeed(t *testing.T) {
	m := Observatory()
	if !reflect.DeepEqual(smallTrace(&m, 1), smallTrace(&m, 1)) {
		t.Error("the same seed gives two traces")
	}
	if reflect.DeepEqual(smallTrace(&m, 1).Jobs, smallTrace(&m, 2).Jobs) {
		t.Error("two seeds give the same trace")
	}
}
