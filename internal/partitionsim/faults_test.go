package partitionsim

import (
	"fmt"
	"time"

	"coltsfootmux/internal/core/term"
)

// faultOrJob submits or cancels a job, or brings about a fault.
func (s *simulation) faultOrJob(withoutPartitions bool) {
	switch n := s.rng.IntN(16); {
	case n < 6:
		s.submit()
	case n == 6:
		s.cancel()
	case n < 10:
		if !withoutPartitions {
			s.partition()
		}
	case n < 12:
		s.cutLink()
	case n == 12:
		s.pauseInstance()
	case n == 13:
		s.killInstance()
	case n == 14:
		s.stopInstance()
	case n == 15:
		s.storeOutage()
	}
}

// termFault brings about a fault that concerns the term.
func (s *simulation) termFault() {
	switch n := s.rng.IntN(20); {
	case n < 5:
		s.partition()
	case n < 7:
		s.cutMostLinks()
	case n == 7:
		s.leaveOneWithStore()
	case n < 11:
		s.cutLink()
	case n < 14:
		s.pauseInstance()
	case n < 16:
		s.killInstance()
	case n == 16:
		s.stopInstance()
	case n == 17:
		s.restartInstance()
	default:
		s.storeOutage()
	}
}

// cutMostLinks cuts many of the links between instances and the store for a while, each by
// itself.
func (s *simulation) cutMostLinks() {
	share, length := s.rng.Float64(), s.faultLength()
	var cuts []direction
	for _, a := range s.instances {
		for _, b := range s.instances {
			if a != b && s.chance(share/2) {
				cuts = append(cuts, direction{a.host, b.host})
			}
		}
		if s.chance(share) {
			cuts = append(cuts, direction{a.host, storeHost})
		}
	}
	s.cut(length, s.randomCutState(), cuts)
}

// leaveOneWithStore puts all but one or two instances on an island without the store, often for
// longer than a term is kept without it.
func (s *simulation) leaveOneWithStore() {
	if s.net.island != nil {
		return
	}
	island := make(map[host]bool)
	for _, i := range s.instances {
		island[i.host] = true
	}
	for range 1 + s.rng.IntN(2) {
		delete(island, s.randomInstance().host)
	}
	length := s.between(2*time.Second, 30*time.Second)
	s.isolate(island, linkSilent, length)
	if s.chance(0.5) {
		s.run(length)
	}
}

// randomCutState returns how a cut link behaves.
func (s *simulation) randomCutState() linkState {
	if s.chance(0.7) {
		return linkSilent
	}
	return linkRefused
}

// faultLength returns how long a cut or outage lasts.
func (s *simulation) faultLength() time.Duration {
	if s.chance(0.1) {
		return s.between(15*time.Second, 40*time.Second)
	}
	return s.between(300*time.Millisecond, 10*time.Second)
}

// partition divides all hosts into two sides for a while: at random, or by data centre.
func (s *simulation) partition() {
	if s.net.island != nil {
		return
	}
	zones := make(map[string]bool)
	for n := range dataCentres {
		zones[fmt.Sprintf("d%d", n)] = s.chance(0.5)
	}
	byZone, share := s.chance(0.5), 0.2+0.6*s.rng.Float64()
	island := make(map[host]bool)
	for _, i := range s.instances {
		if byZone && zones[i.dataCentre] || !byZone && s.chance(share) {
			island[i.host] = true
		}
	}
	for _, h := range s.heartbeats {
		if byZone && zones[h.machine.Zone] || !byZone && s.chance(share) {
			island[host(h.machine.ID)] = true
		}
	}
	s.isolate(island, s.randomCutState(), s.faultLength())
}

// isolate puts hosts on an island without the store for a while.
func (s *simulation) isolate(island map[host]bool, state linkState, length time.Duration) {
	s.net.island, s.net.islandState = island, state
	s.tracef("partition for %v, state %d, without the store: %v", length, s.net.islandState, s.net.islandNames())
	s.schedule(length, func() {
		if !s.healed {
			s.net.island = nil
			s.tracef("partition heals")
		}
	})
}

// cutLink cuts the link between an instance and another host for a while, sometimes in one
// direction.
func (s *simulation) cutLink() {
	from, to := s.randomInstance().host, s.randomHost()
	state, length := s.randomCutState(), s.faultLength()
	cuts := []direction{{from, to}, {to, from}}
	if state == linkSilent && s.chance(0.3) {
		at := s.rng.IntN(2)
		cuts = cuts[at : at+1]
	}
	s.cut(length, state, cuts)
}

// cut cuts links for a while.
func (s *simulation) cut(length time.Duration, state linkState, cuts []direction) {
	s.tracef("links cut for %v, state %d: %v", length, state, cuts)
	for _, d := range cuts {
		s.net.cuts[d] = state
	}
	s.schedule(length, func() {
		for _, d := range cuts {
			delete(s.net.cuts, d)
		}
	})
}

func (s *simulation) randomInstance() *instance { return s.instances[s.rng.IntN(len(s.instances))] }

// randomHost returns a peer, a worker or the store.
func (s *simulation) randomHost() host {
	switch n := s.rng.IntN(3); {
	case n == 0:
		return storeHost
	case n == 1 || len(s.heartbeats) == 0:
		return s.randomInstance().host
	default:
		return host(s.heartbeats[s.rng.IntN(len(s.heartbeats))].machine.ID)
	}
}

func (s *simulation) pauseInstance() {
	if i := s.ownerOrAny(); i.alive && !i.paused {
		i.pause(s.between(100*time.Millisecond, 5*time.Second), s.chance(0.5))
	}
}

// restartInstance kills any process and starts another at its host at once.
func (s *simulation) restartInstance() {
	if i := s.randomInstance(); i.alive {
		s.tracef("%s is restarted", i.name())
		i.kill()
		s.schedule(s.between(10*time.Millisecond, 300*time.Millisecond), i.start)
	}
}

// healNetwork ends all cuts at once, sometimes while an owner is paused for about as long as it
// keeps its term.
func (s *simulation) healNetwork() {
	s.net.heal()
	if i := s.ownerOrAny(); s.chance(0.3) && i.alive && !i.paused {
		i.pause(s.between(time.Second, 2800*time.Millisecond), s.chance(0.5))
	}
}

// killInstance kills a process, sometimes with its host, and starts another there.
func (s *simulation) killInstance() {
	if i := s.ownerOrAny(); i.alive {
		s.tracef("%s is killed", i.name())
		i.kill()
		s.net.hostsDown[i.host] = s.chance(0.5)
		s.schedule(s.between(50*time.Millisecond, 6*time.Second), i.start)
	}
}

// stopInstance lets a process stop, and starts another at its host.
func (s *simulation) stopInstance() {
	i := s.ownerOrAny()
	if !i.alive || i.paused {
		return
	}
	s.tracef("%s stops", i.name())
	i.stopping = true
	i.witness.Stop()
	i.stepTerm(term.Stopping{})
	i.deliver(s.between(0, time.Second), func() {
		i.kill()
		s.schedule(s.between(50*time.Millisecond, 3*time.Second), i.start)
	})
}

// ownerOrAny returns an instance that owns a term, or any.
func (s *simulation) ownerOrAny() *instance {
	i := s.randomInstance()
	if i.owner != nil || s.chance(0.5) {
		return i
	}
	for _, o := range s.instances {
		if o.owner != nil {
			return o
		}
	}
	return i
}

// storeOutage keeps the store from everybody for a while.
func (s *simulation) storeOutage() {
	if s.net.storeDown != linkOK {
		return
	}
	s.net.storeDown = s.randomCutState()
	length := s.faultLength()
	s.tracef("store outage for %v, state %d", length, s.net.storeDown)
	s.schedule(length, func() {
		if !s.healed {
			s.net.storeDown = linkOK
			s.tracef("store outage ends")
		}
	})
}

// heal ends all faults.
func (s *simulation) heal() {
	s.tracef("all faults end")
	s.healed = true
	s.net.heal()
	s.lossRate, s.lateRate = 0, 0
	for _, i := range s.instances {
		i.processor.cost = 0
		switch {
		case !i.alive:
			i.start()
		case i.paused:
			i.resume(false)
		}
	}
}
