package partitionsim

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"
)

// fixedSeeds is the number of seeds that the tests run.
const fixedSeeds = 200

var (
	firstSeed = flag.Uint64("partition.first", 0, "first seed")
	seedCount = flag.Uint64("partition.seeds", fixedSeeds, "number of seeds")
	traceSeed = flag.Bool("partition.trace", false, "log the trace of the first seed that fails, and the results of all")
)

// regressionSeeds are seeds that failed before, besides those that are always run.
var regressionSeeds = []uint64{
	317,  // a lease granted on the word of peers that was handled after a pause
	1289, // a claim carried out just after peers confirmed the owner, with a slow store
	1510, // starts on the word of peers that was handled after a pause of 2 s
}

// TestOneOwnerStartsTasksBesidePartitions runs random scenarios in which partitions, cuts,
// pauses, crashes and outages come at any time.
func TestOneOwnerStartsTasksBesidePartitions(t *testing.T) { runSeeds(t, allFaults()) }

// TestOneOwnerStartsTasksWithoutPartitions runs the same without partitions.
func TestOneOwnerStartsTasksWithoutPartitions(t *testing.T) {
	f := allFaults()
	f.partitions = false
	runSeeds(t, f, regressionSeeds...)
}

// runSeeds runs the scenarios of the fixed seeds and of some others, or of those that the
// flags name. It ends with the first that fails unless the results of all are asked for.
func runSeeds(t *testing.T, f faults, others ...uint64) {
	var seeds []uint64
	if *seedCount == fixedSeeds {
		seeds = others
	}
	for n := range *seedCount {
		seeds = append(seeds, *firstSeed+n)
	}
	for _, seed := range seeds {
		s := runScenario(t, seed, f)
		failure := s.failure()
		if failure == "" {
			continue
		}
		if *traceSeed && !t.Failed() {
			t.Log("\n" + strings.Join(s.trace, "\n"))
		}
		t.Error(failure)
		if !*traceSeed {
			return
		}
	}
}

// runScenario runs the scenario of a seed until all jobs have ended.
func runScenario(t *testing.T, seed uint64, f faults) *simulation {
	s := newSimulation(t, seed)
	s.run(2 * time.Second)
	for range 36 {
		s.run(s.between(100*time.Millisecond, 1200*time.Millisecond))
		s.faultOrJob(f)
	}
	s.heal()
	for range 120 {
		s.run(time.Second)
		if len(s.openJobs()) == 0 {
			break
		}
	}
	return s
}

// failure describes what went wrong, "" for nothing.
func (s *simulation) failure() string {
	var out []string
	if v := s.fleet.Violations(); len(v) > 0 {
		out = append(out, fmt.Sprintf("fleet (%d): %s", len(v), v[0]))
	}
	if len(s.violations) > 0 {
		out = append(out, fmt.Sprintf("orders (%d): %s", len(s.violations), s.violations[0]))
	}
	if open := s.openJobs(); len(open) > 0 {
		out = append(out, fmt.Sprintf("jobs that never ended: %v", open))
	}
	if len(out) == 0 {
		return ""
	}
	return fmt.Sprintf("seed %d: %s", s.seed, strings.Join(out, "; "))
}
