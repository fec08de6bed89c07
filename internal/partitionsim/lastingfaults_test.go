package partitionsim

import (
	"slices"
	"testing"
	"time"
)

// progressSeeds is the number of seeds that each test of progress runs.
const progressSeeds = 40

const (
	// calmBefore is the time before a lasting fault in which the instances find an owner and
	// witnesses, and learn of each other.
	calmBefore = 10 * time.Second
	// minFault and maxFault bound the time for which a lasting fault is watched.
	minFault = 3 * recoverWithin
	maxFault = 6 * recoverWithin
)

// TestWorkGoesOnBesideOwnerWithoutWorkers guards against an owner that keeps its term without
// reaching a worker: no job began.
func TestWorkGoesOnBesideOwnerWithoutWorkers(t *testing.T) {
	runLastingFaults(t, minorityOf, withoutWorkers(0))
}

// TestWorkGoesOnBesideOwnerWithOneWorker guards against an owner that keeps its term and reaches one
// worker.
func TestWorkGoesOnBesideOwnerWithOneWorker(t *testing.T) {
	runLastingFaults(t, minorityOf, withoutWorkers(1))
}

// TestWorkGoesOnBesideOneWayLossToWorkers guards against an owner whose orders or whose workers'
// answers are lost.
func TestWorkGoesOnBesideOneWayLossToWorkers(t *testing.T) {
	runLastingFaults(t, minorityOf, oneWayToWorkers)
}

// TestCallersAreToldBesideOwnerWithoutPeers guards against an owner that keeps its term without
// reaching a peer: nobody was told the state of a job.
func TestCallersAreToldBesideOwnerWithoutPeers(t *testing.T) {
	runLastingFaults(t, minorityOf, withoutPeers(0))
}

// TestCallersAreToldBesideOwnerWithOnePeer guards against an owner that keeps its term and reaches one
// peer.
func TestCallersAreToldBesideOwnerWithOnePeer(t *testing.T) {
	runLastingFaults(t, minorityOf, withoutPeers(1))
}

// TestCallersAreToldBesideOneWayLossToPeers guards against an owner to or from which its peers' messages
// are lost.
func TestCallersAreToldBesideOneWayLossToPeers(t *testing.T) {
	runLastingFaults(t, minorityOf, oneWayToPeers)
}

// TestWorkGoesOnBesideOwnerPausedInSeries guards against an owner that hardly runs and keeps its term.
func TestWorkGoesOnBesideOwnerPausedInSeries(t *testing.T) {
	runLastingFaults(t, minorityOf, pausedInSeries)
}

// TestWorkGoesOnAfterLossOfMostInstances guards against a claim that waits for witnesses that are gone
// with the owner.
func TestWorkGoesOnAfterLossOfMostInstances(t *testing.T) {
	runLastingFaults(t, mostOf, killedForGood)
}

// TestWorkGoesOnBesideUnfitNextOwner guards against an instance that is affected by a lasting fault of
// paths, claims the term of an owner that is gone, and keeps it.
func TestWorkGoesOnBesideUnfitNextOwner(t *testing.T) {
	faults := []lastingFault{
		withoutWorkers(0), withoutWorkers(1), withoutPeers(0), withoutPeers(1), oneWayToWorkers, oneWayToPeers,
	}
	runProgressSeeds(t, func(seed uint64) *simulation {
		s := newLastingFaults(t, seed)
		n := len(s.instances)
		affected := s.ownerAnd((n - 2) / 2)
		if affected == nil {
			s.violationf("no instance owns the cell")
			return s
		}
		faults[s.rng.IntN(len(faults))](s, affected[1:])
		s.run(s.between(0, calmBefore))
		if s.chance(0.5) {
			s.stopForGood(affected[0])
		} else {
			killedForGood(s, affected[:1])
		}
		s.watchLastingFaults(affected)
		return s
	})
}

// TestWorkGoesOnAfterTheLastFault runs random faults of all that an owner needs, and checks that work
// goes on after the last one.
func TestWorkGoesOnAfterTheLastFault(t *testing.T) {
	runProgressSeeds(t, func(seed uint64) *simulation {
		s := newSimulation(t, seed, 3+int(seed%6), 5)
		s.run(calmBefore)
		for range 12 {
			s.submitSmall()
			s.termFault()
			s.run(s.between(0, 3*time.Second))
		}
		s.heal()
		s.watchProgress(recoverWithin, 2*recoverWithin, s.instances)
		s.endJobs()
		return s
	})
}

// minorityOf returns how many of n instances may be affected beside the owner so that most are not.
func minorityOf(s *simulation, n int) int { return s.rng.IntN((n - 1) / 2) }

// mostOf returns how many of n instances may be affected beside the owner so that one to three are not.
func mostOf(s *simulation, n int) int { return n - 2 - s.rng.IntN(3) }

// runLastingFaults runs scenarios in which the owner and some others, which are drawn by others, are
// affected by a fault that lasts.
func runLastingFaults(t *testing.T, others func(s *simulation, n int) int, fault lastingFault) {
	t.Helper()
	runProgressSeeds(t, func(seed uint64) *simulation {
		s := newLastingFaults(t, seed)
		affected := s.ownerAnd(others(s, len(s.instances)))
		if affected == nil {
			s.violationf("no instance owns the cell")
			return s
		}
		fault(s, affected)
		s.watchLastingFaults(affected)
		return s
	})
}

// newLastingFaults returns a simulation at the end of the calm time.
func newLastingFaults(t *testing.T, seed uint64) *simulation {
	s := newSimulation(t, seed, 5+int(seed%5), 5)
	s.lossRate, s.lateRate = 0, 0
	s.submitSmall()
	s.run(calmBefore)
	return s
}

// watchLastingFaults checks that work goes on beside the affected instances.
func (s *simulation) watchLastingFaults(affected []*instance) {
	callers := slices.DeleteFunc(slices.Clone(s.instances), func(i *instance) bool { return slices.Contains(affected, i) })
	s.watchProgress(recoverWithin, s.between(minFault, maxFault), callers)
	s.heal()
	s.endJobs()
}

// runProgressSeeds runs fewer of the fixed seeds than the tests of safety do, or those that the flags
// name.
func runProgressSeeds(t *testing.T, run func(seed uint64) *simulation) {
	t.Helper()
	count := *seedCount
	if count == fixedSeeds {
		count = progressSeeds
	}
	var seeds []uint64
	for n := range count {
		seeds = append(seeds, *firstSeed+n)
	}
	runEachSeed(t, run, seeds)
}

// endJobs runs until all jobs have ended, for a limited time.
func (s *simulation) endJobs() {
	for range 120 {
		if len(s.openJobs()) == 0 {
			return
		}
		s.run(time.Second)
	}
}
