package partitionsim

import (
	"fmt"
	"time"

	"coltsfootmux/internal/core/term"
)

// faults says which faults a scenario has.
type faults struct {
	partitions, cuts, pauses, kills, outages bool
}

// allFaults are the faults of a scenario unless a test says otherwise.
func allFaults() faults {
	return faults{partitions: true, cuts: true, pauses: true, kills: true, outages: true}
}

// faultOrJob submits or cancels a job, or brings about a fault.
func (s *simulation) faultOrJob(f faults) {
	switch n := s.rng.IntN(16); {
	case n < 6:
		s.submit()
	case n == 6:
		s.cancel()
	case n < 10 && f.partitions:
		s.partition()
	case n < 12 && f.cuts:
		s.cutLink()
	case n == 12 && f.pauses:
		s.pauseInstance()
	case n == 13 && f.kills:
		s.killInstance()
	case n == 14 && f.kills:
		s.stopInstance()
	case n == 15 && f.outages:
		s.storeOutage()
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
	s.net.island, s.net.islandState = island, s.randomCutState()
	length := s.faultLength()
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
	switch s.rng.IntN(3) {
	case 0:
		return storeHost
	case 1:
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
		switch {
		case !i.alive:
			i.start()
		case i.paused:
			i.resume(false)
		}
	}
}
