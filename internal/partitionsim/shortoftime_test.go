package partitionsim

import (
	"testing"
	"time"
)

// TestOneOwnerStartsTasksBesideInstancesShortOfTime guards against a process that acts on answers and
// confirmations which it reads seconds late.
func TestOneOwnerStartsTasksBesideInstancesShortOfTime(t *testing.T) {
	runSeeds(t, func(seed uint64) *simulation {
		s := newSimulation(t, seed, 3+int(seed%4), 5)
		s.run(2 * time.Second)
		for range 36 {
			s.run(s.between(100*time.Millisecond, 1200*time.Millisecond))
			if s.chance(0.3) {
				s.slowInstance()
				continue
			}
			s.faultOrJob(s.chance(0.5))
		}
		s.heal()
		s.run(time.Second)
		s.endJobs()
		return s
	})
}

// TestWorkGoesOnBesideOwnerShortOfTime guards against an owner that keeps its term and has too little
// processor time for it.
func TestWorkGoesOnBesideOwnerShortOfTime(t *testing.T) {
	runLastingFaults(t, minorityOf, shortOfTimeForGood)
}

// shortOfTimeForGood leaves the instances short of processor time, each by its own amount.
func shortOfTimeForGood(s *simulation, affected []*instance) {
	for _, i := range affected {
		i.shortOfTime(s.between(minEventCost, maxEventCost))
	}
}

// TestOwnerThatRunsLateKeepsItsTerm guards against renewals that wait behind all other work of an owner
// which is a little short of processor time, while its store and its peers are calm.
func TestOwnerThatRunsLateKeepsItsTerm(t *testing.T) {
	const cost = 11 * time.Millisecond
	runProgressSeeds(t, func(seed uint64) *simulation {
		s := newLastingFaults(t, seed)
		owners := s.ownerAnd(0)
		if owners == nil {
			s.violationf("no instance owns the cell")
			return s
		}
		term := owners[0].owner.term
		owners[0].shortOfTime(cost)
		for range 16 {
			s.submitSmall()
			s.run(500 * time.Millisecond)
		}
		if o := owners[0].owner; o == nil || o.term != term {
			s.violationf("the term is lost")
		}
		s.heal()
		s.endJobs()
		return s
	})
}
