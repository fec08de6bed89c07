package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"coltsfootmux/internal/standin/fleet"
	"coltsfootmux/internal/standin/store"
)

// storeFaults are the ways in which the store fails.
var storeFaults = [...]store.Fault{
	{Down: true}, {Silent: true}, {LoseAnswers: true}, {AppendDelay: 2 * time.Second}, {Slow: 150 * time.Millisecond},
}

// fault is one thing that goes wrong for a time.
type fault struct {
	name  string
	begin func()
	end   func()
}

// draw gives a fault with what ends it. Faults of several kinds may overlap.
func (s *site) draw(rng *rand.Rand) fault {
	m := s.machines[rng.IntN(len(s.machines))]
	n := rng.IntN(len(s.workers))
	w := s.workers[n]
	restart := func() { _ = m.start(s.o.Program) }
	modes := [...]Mode{Delay, DropAll, DropReplies, Reset}
	mode := modes[rng.IntN(len(modes))]
	switch rng.IntN(12) {
	case 0:
		return fault{"kill " + m.name, m.kill, restart}
	case 1:
		return fault{"pause " + m.name, func() { m.signal(syscall.SIGSTOP) }, func() { m.signal(syscall.SIGCONT) }}
	case 2:
		return fault{"stop " + m.name, func() { m.signal(syscall.SIGTERM) }, func() { m.kill(); restart() }}
	case 3:
		return fault{fmt.Sprintf("store of %s, mode %d", m.name, mode), func() { m.store.SetMode(mode) }, func() { m.store.SetMode(Pass) }}
	case 4:
		return fault{fmt.Sprintf("worker %d, mode %d", n, mode), func() { w.SetMode(mode) }, func() { w.SetMode(Pass) }}
	case 5:
		return fault{fmt.Sprintf("worker %d crashes", n), func() { s.crash(n) }, func() { s.revive(n) }}
	case 6:
		return fault{fmt.Sprintf("worker %d hangs", n), func() { s.mode(n, fleet.Hanging) }, func() { s.mode(n, fleet.Healthy) }}
	case 7:
		f := storeFaults[rng.IntN(len(storeFaults))]
		return fault{fmt.Sprintf("store %+v", f), func() { s.store.SetFault(f) }, func() { s.store.SetFault(store.Fault{}) }}
	case 8:
		return fault{"all machines killed", s.killAll, s.startAll}
	case 9:
		return fault{fmt.Sprintf("links of %s, mode %d", m.name, mode), func() { m.links.SetMode(mode) }, func() { m.links.SetMode(Pass) }}
	case 10:
		f := storeFaults[rng.IntN(len(storeFaults))]
		for _, t := range s.store.Topics() {
			if rng.IntN(3) == 0 {
				f.Topics = append(f.Topics, t)
			}
		}
		return fault{fmt.Sprintf("part of the store %+v", f), func() { s.store.SetFault(f) }, func() { s.store.SetFault(store.Fault{}) }}
	default:
		return fault{"hang-up of " + m.name, func() { m.signal(syscall.SIGHUP) }, func() {}}
	}
}

func (s *site) crash(n int) {
	s.fleet.With(func(f *fleet.Fleet) {
		m := f.Machine(workerName(n))
		m.Restart()
		m.Down = true
	})
}

func (s *site) revive(n int) {
	s.fleet.With(func(f *fleet.Fleet) {
		m := f.Machine(workerName(n))
		m.Restart()
		m.Down = false
	})
	s.register(n)
}

func (s *site) mode(n int, mode fleet.Mode) {
	s.fleet.With(func(f *fleet.Fleet) { f.Machine(workerName(n)).Mode = mode })
}

func (s *site) killAll() {
	for _, m := range s.machines {
		m.kill()
	}
}

func (s *site) startAll() {
	for _, m := range s.machines {
		_ = m.start(s.o.Program)
	}
}

// heal ends every fault that may be in force.
func (s *site) heal() {
	s.store.SetFault(store.Fault{})
	for n, w := range s.workers {
		w.SetMode(Pass)
		s.mode(n, fleet.Healthy)
		s.fleet.With(func(f *fleet.Fleet) { f.Machine(workerName(n)).Down = false })
	}
	for _, m := range s.machines {
		m.store.SetMode(Pass)
		m.links.SetMode(Pass)
		m.signal(syscall.SIGCONT)
		_ = m.start(s.o.Program)
	}
}
