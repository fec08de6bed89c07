package partitionsim

import (
	"testing"
	"time"

	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
)

// isDisturbed reports whether a process is stopped, a machine is down or a link is cut.
func (s *simulation) isDisturbed() bool {
	for _, i := range s.instances {
		if !i.alive || i.paused || i.stopping {
			return true
		}
	}
	for _, h := range s.heartbeats {
		if h.machine.Down {
			return true
		}
	}
	return s.net.island != nil || s.net.storeDown != linkOK || len(s.net.cuts)+len(s.net.hostsDown) > 0
}

// checkGangs records runs that ended alone, and forgets them if a fault was near.
//
// A run is excused if anything was disturbed from the time of a call before its gang's first start, or the last
// renewal of a lease that has expired, until its end, or if the network delayed or lost an order of its job. Want of processor time excuses nothing.
func (s *simulation) checkGangs() {
	if s.isDisturbed() {
		s.disturbedAt = s.now
	}
	for _, a := range s.fleet.TakeAlone() {
		if s.disturbedAt == 0 || s.disturbedAt < a.Since-orderTimeout {
			s.checkAlone(a)
		}
	}
}

func (s *simulation) checkAlone(a fleet.Alone) {
	if a.Late || s.delayedOrders[a.Task.Job] {
		return
	}
	s.violationf("%v run %d on %s ended alone, %v after its gang was left in part, terms %v", a.Task, a.Run, a.Worker, a.EndedAt-a.Since, a.Tokens)
}

// submitGang submits a job of one gang for which there is always room.
func (s *simulation) submitGang() {
	j := s.randomJob()
	j.Steps = []job.Step{{Count: 2 + s.rng.IntN(12), CPU: 1000, MemMB: 10, Gang: true, EstimateMS: 1500}}
	s.submitJob(j)
}

// TestGangsOfAnOwnerThatYieldsAreNotLeftInPart guards against members that wait alone to the workers' limit,
// as their owner gave its term to another while it ordered their gang.
func TestGangsOfAnOwnerThatYieldsAreNotLeftInPart(t *testing.T) {
	runProgressSeeds(t, func(seed uint64) *simulation {
		s := newLastingFaults(t, seed)
		for range 4 {
			s.slowOwnerYields()
			s.run(fleet.GangTimeout)
		}
		s.heal()
		s.endJobs()
		return s
	})
}

// TestPartialGangsDoNotWaitForAnHeirShortOfTime guards against members that wait alone for an heir which has
// to hear of all workers of its predecessor before it stops gangs that were started in part.
func TestPartialGangsDoNotWaitForAnHeirShortOfTime(t *testing.T) {
	const cost = 10 * time.Millisecond
	runEachSeed(t, func(seed uint64) *simulation {
		s := newLastingFaults(t, seed)
		for range 4 {
			s.slowAll(cost)
			s.slowOwnerYields()
			s.run(fleet.GangTimeout + time.Second)
			s.slowAll(0)
			s.run(fleet.GangTimeout)
		}
		s.heal()
		s.endJobs()
		return s
	}, []uint64{9, 10, 24, 25, 38})
}

// slowAll leaves all instances short of processor time, by a cost of each event; 0 ends it.
func (s *simulation) slowAll(cost time.Duration) {
	for _, i := range s.instances {
		i.shortOfTime(cost)
	}
}

// slowOwnerYields has an owner with little processor time yield while it orders gangs.
func (s *simulation) slowOwnerYields() {
	owners := s.ownerAnd(0)
	if owners == nil {
		s.violationf("no instance owns the cell")
		return
	}
	i := owners[0]
	i.shortOfTime(s.between(minEventCost, maxEventCost))
	for range 3 {
		s.submitGang()
	}
	s.run(s.between(100*time.Millisecond, 1500*time.Millisecond))
	if i.owner != nil {
		i.stepTerm(term.YieldRequested{Term: i.owner.term})
	}
	i.shortOfTime(0)
}
