package partitionsim

import (
	"slices"
	"time"

	"coltsfootmux/internal/core/term"
)

// lastingFault brings about a fault of some instances that lasts while all else is calm.
type lastingFault func(s *simulation, affected []*instance)

// workerHosts returns the hosts of all workers, in any order.
func (s *simulation) workerHosts() []host {
	var out []host
	for _, h := range s.heartbeats {
		out = append(out, host(h.machine.ID))
	}
	s.rng.Shuffle(len(out), func(a, b int) { out[a], out[b] = out[b], out[a] })
	return out
}

// peerHosts returns the hosts of all instances but one, in any order.
func (s *simulation) peerHosts(of *instance) []host {
	var out []host
	for _, i := range s.instances {
		if i != of {
			out = append(out, i.host)
		}
	}
	s.rng.Shuffle(len(out), func(a, b int) { out[a], out[b] = out[b], out[a] })
	return out
}

// cutForGood cuts the links between an instance and others.
func (s *simulation) cutForGood(i *instance, others []host) {
	state := s.randomCutState()
	for _, h := range others {
		s.net.cuts[direction{i.host, h}] = state
		s.net.cuts[direction{h, i.host}] = state
	}
	s.tracef("%s is cut off for good, state %d, from %v", i.name(), state, others)
}

// loseOneWay loses all messages between an instance and others in one direction.
func (s *simulation) loseOneWay(i *instance, others []host) {
	outwards := s.chance(0.5)
	for _, h := range others {
		d := direction{h, i.host}
		if outwards {
			d = direction{i.host, h}
		}
		s.net.cuts[d] = linkSilent
	}
	s.tracef("%s loses all messages for good, outwards: %v, of %v", i.name(), outwards, others)
}

// withoutWorkers leaves the instances without a path to any worker, or to all but one.
func withoutWorkers(left int) lastingFault {
	return func(s *simulation, affected []*instance) {
		for _, i := range affected {
			s.cutForGood(i, s.workerHosts()[left:])
		}
	}
}

// withoutPeers leaves the instances without a path to any other, or to all but one.
func withoutPeers(left int) lastingFault {
	return func(s *simulation, affected []*instance) {
		for _, i := range affected {
			s.cutForGood(i, s.peerHosts(i)[left:])
		}
	}
}

// oneWayToWorkers loses one direction between the instances and all workers.
func oneWayToWorkers(s *simulation, affected []*instance) {
	for _, i := range affected {
		s.loseOneWay(i, s.workerHosts())
	}
}

// oneWayToPeers loses one direction between the instances and all others.
func oneWayToPeers(s *simulation, affected []*instance) {
	for _, i := range affected {
		s.loseOneWay(i, s.peerHosts(i))
	}
}

// pausedInSeries lets the instances run for a short time between pauses only.
func pausedInSeries(s *simulation, affected []*instance) {
	for _, i := range affected {
		pause, run := s.between(300*time.Millisecond, 2400*time.Millisecond), s.between(50*time.Millisecond, 500*time.Millisecond)
		s.tracef("%s is paused for %v in each %v", i.name(), pause, pause+run)
		s.pauseInSeries(i, pause, run)
	}
}

func (s *simulation) pauseInSeries(i *instance, pause, run time.Duration) {
	if s.healed {
		return
	}
	if i.alive && !i.paused {
		i.pause(pause, s.chance(0.5))
	}
	s.schedule(pause+run, func() { s.pauseInSeries(i, pause, run) })
}

// killedForGood kills the instances. Some of their hosts refuse connections.
func killedForGood(s *simulation, affected []*instance) {
	for _, i := range affected {
		s.tracef("%s is killed for good", i.name())
		i.kill()
		s.net.hostsDown[i.host] = s.chance(0.5)
	}
}

// stopForGood lets an instance stop. No other process is started at its host.
func (s *simulation) stopForGood(i *instance) {
	s.tracef("%s stops for good", i.name())
	i.stopping = true
	i.witness.Stop()
	i.stepTerm(term.Stopping{})
	i.deliver(s.between(0, time.Second), i.kill)
}

// ownerAnd returns the present owner and as many other instances, in any order; nil without an
// owner.
func (s *simulation) ownerAnd(others int) []*instance {
	at := slices.IndexFunc(s.instances, s.ownsCell)
	if at < 0 {
		return nil
	}
	all := slices.Delete(slices.Clone(s.instances), at, at+1)
	s.rng.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return append([]*instance{s.instances[at]}, all[:others]...)
}
