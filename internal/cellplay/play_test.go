package cellplay

import (
	"flag"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"
	"time"
)

var seeds = flag.Int("cell-seeds", 1, "play each mix with so many seeds and print the tables")

var rejectSeeds = flag.Int("reject-seeds", 4, "play workers that reject tasks with so many seeds")

func seedOf(n uint64) *rand.Rand { return rand.New(rand.NewPCG(n, 1)) }

func small(m *Mix, seed uint64) Trace {
	return Draw(m, Params{Workers: 16, Load: 1, ArrivalTime: time.Minute, Seed: seed})
}

func TestEveryJobOfEveryMixEndsAndNothingForbiddenHappens(t *testing.T) {
	for _, m := range Mixes() {
		for seed := range uint64(*seeds) {
			rs := SimulateEach(small(&m, seed), Rankings())
			for _, r := range rs {
				if r.Unfinished > 0 || len(r.Violations) > 0 {
					t.Errorf("%s under %s, seed %d: %d jobs open, faults %v", m.Name, r.Ranking, seed, r.Unfinished, r.Violations)
				}
			}
			if testing.Verbose() {
				WriteTable(os.Stdout, rs)
			}
		}
	}
}

func TestAPlayIsTheSameEachTime(t *testing.T) {
	m := Cooperative()
	o := Rankings()[0]
	if a, b := Simulate(small(&m, 3), o), Simulate(small(&m, 3), o); !reflect.DeepEqual(a, b) {
		t.Errorf("two plays differ:\n%+v\n%+v", a, b)
	}
}

func TestUrgentWorkStartsSoonerThanInOneClass(t *testing.T) {
	for _, m := range Mixes() {
		trace := Draw(&m, Params{Workers: 16, Load: 1.5, ArrivalTime: time.Minute, Seed: 7})
		byName := make(map[string]Result)
		for _, r := range SimulateEach(trace, Rankings()) {
			byName[r.Ranking] = r
		}
		urgent := m.Kinds[0].Queue.Name
		standard, flat := byName["standard"].kind(urgent), byName["one-class"].kind(urgent)
		if standard.WaitP99 >= flat.WaitP99 {
			t.Errorf("%s waits %v at most, %v in one class", urgent, standard.WaitP99, flat.WaitP99)
		}
	}
}

func (r Result) kind(name string) KindResult {
	for _, k := range r.Kinds {
		if k.Kind == name {
			return k
		}
	}
	return KindResult{}
}

func TestATraceDependsOnItsSeedOnly(t *testing.T) {
	m := Observatory()
	if !reflect.DeepEqual(small(&m, 1), small(&m, 1)) {
		t.Error("the same seed gives two traces")
	}
	if reflect.DeepEqual(small(&m, 1).Jobs, small(&m, 2).Jobs) {
		t.Error("two seeds give the same trace")
	}
}
