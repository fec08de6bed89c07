package partitionsim

import (
	"slices"
	"testing"
	"time"
)

// TestLaterOwnersAllowForOneOnAnIsland runs scenarios in which an owner is on an island with most of its
// witnesses and some of the workers, while the others have several owners in turn.
func TestLaterOwnersAllowForOneOnAnIsland(t *testing.T) {
	runSeeds(t, func(seed uint64) *simulation { return runChain(t, seed) })
}

// runChain runs the scenario of a seed until all jobs have ended.
func runChain(t *testing.T, seed uint64) *simulation {
	s := newSimulation(t, seed, 4+int(seed%5), 5)
	for _, i := range s.instances {
		i.clockRate = 0.96 + 0.08*s.rng.Float64()
	}
	for range 2 {
		s.run(s.between(2*time.Second, 6*time.Second))
		s.submitSome()
		s.isolateOwner(s.between(8*time.Second, 30*time.Second))
		for s.net.island != nil {
			s.run(s.between(500*time.Millisecond, 8*time.Second))
			s.submitSome()
			s.endOwner(func(i *instance) bool { return !s.net.island[i.host] })
		}
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

// submitSome lets callers submit a few jobs.
func (s *simulation) submitSome() {
	for range s.rng.IntN(4) {
		s.submit()
	}
}

// isolateOwner puts an owner on an island with all other instances but two or three, and with some of the
// workers.
func (s *simulation) isolateOwner(length time.Duration) {
	at := slices.IndexFunc(s.instances, s.ownsCell)
	if at < 0 || s.net.island != nil {
		return
	}
	island := make(map[host]bool)
	for _, i := range s.instances {
		island[i.host] = true
	}
	for range 2 + s.rng.IntN(2) {
		delete(island, s.randomInstance().host)
	}
	island[s.instances[at].host] = true
	for _, h := range s.heartbeats {
		island[host(h.machine.ID)] = s.chance(0.5)
	}
	s.isolate(island, s.randomCutState(), length)
}

// endOwner kills or stops the owners of the given instances, and starts others there.
func (s *simulation) endOwner(of func(*instance) bool) {
	for _, i := range s.instances {
		if i.owner == nil || !i.alive || i.stopping || !of(i) || s.chance(0.3) {
			continue
		}
		s.tracef("%s ends", i.name())
		i.kill()
		s.schedule(s.between(50*time.Millisecond, 6*time.Second), i.start)
	}
}
