package partitionsim

import (
	"time"

	"coltsfootmux/internal/core/capacity"
	"coltsfootmux/internal/core/term"
)

const (
	// membersInterval is the time between two reads of the members' records, as in package instance.
	membersInterval = 8 * time.Second
	// membersStartDelay is the time to the second read.
	membersStartDelay = time.Second
)

// Machines of three classes.
var (
	strongMachine = capacity.Machine{Cores: 0.8, LinkMbps: 200, MemoryMB: 536}
	middleMachine = capacity.Machine{Cores: 0.48, LinkMbps: 10, MemoryMB: 424}
	weakMachine   = capacity.Machine{Cores: 0.144, LinkMbps: 10, MemoryMB: 144}
)

// scaled returns machines with other processors.
func scaled(by float64, machines ...capacity.Machine) []capacity.Machine {
	var out []capacity.Machine
	for _, m := range machines {
		m.Cores *= by
		out = append(out, m)
	}
	return out
}

// ofEach returns some machines of each of the given ones.
func ofEach(n int, machines ...capacity.Machine) (out []capacity.Machine) {
	for _, m := range machines {
		for range n {
			out = append(out, m)
		}
	}
	return out
}

// newFleetOf returns a simulation without lost messages whose instances run on the given machines.
func newFleetOf(s *simulation, machines []capacity.Machine) *simulation {
	s.lossRate, s.lateRate = 0, 0
	s.rng.Shuffle(len(machines), func(a, b int) { machines[a], machines[b] = machines[b], machines[a] })
	for n, i := range s.instances {
		i.machine = machines[n]
		i.settings.ClaimDelay = i.machine.LoneClaimDelay()
	}
	return s
}

// members returns the fleet of all machines on which an instance has ever started.
func (s *simulation) members() capacity.Fleet {
	var machines []capacity.Machine
	for _, i := range s.instances {
		if i.incarnation > 0 {
			machines = append(machines, i.machine)
		}
	}
	return capacity.NewFleet(machines)
}

// isStrong reports whether an instance claims a term without a delay.
func (s *simulation) isStrong(i *instance) bool {
	if r := s.members().Rank(i.machine); r.Known() {
		return r.ClaimDelay() == 0
	}
	return i.settings.ClaimDelay == 0
}

// readMembers ranks this instance's machine, and does so again after a time.
func (i *instance) readMembers(next time.Duration) {
	if !i.machine.Known() {
		return
	}
	i.stepTerm(term.Ranked{Rank: i.sim.members().Rank(i.machine)})
	i.deliver(next, func() { i.readMembers(membersInterval) })
}
