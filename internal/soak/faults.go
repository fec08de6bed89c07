package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"coltsfootmux/internal/job"
	"coltsfootmux/internal/standin/fleet"
	"coltsfootmux/internal/standin/store"
	"coltsfootmux/platform"
)

// storeFaults are the faults of the store that a soak injects.
var storeFaults = [...]store.Fault{
	{Down: true}, {Silent: true}, {LoseAnswers: true}, {AppendDelay: 2 * time.Second}, {Slow: 150 * time.Millisecond},
}

// fault is a failure that begins and ends.
type fault struct {
	name  string
	begin func()
	end   func()
}

// randomFault returns a random fault. Faults of several kinds may overlap.
func (s *testbed) randomFault(rng *rand.Rand) fault {
	m := s.inService()[rng.IntN(len(s.inService()))]
	n := rng.IntN(len(s.workers))
	w := s.workers[n]
	restart := func() { _ = m.start(s.opts.Program) }
	modes := [...]Mode{Delay, DropAll, DropReplies, Reset}
	mode := modes[rng.IntN(len(modes))]
	switch rng.IntN(15) {
	case 0:
		return fault{"kill " + m.name, m.kill, restart}
	case 1:
		return fault{"pause " + m.name, m.stop, func() { m.signal(syscall.SIGCONT) }}
	case 2:
		return fault{"stop " + m.name, func() { m.signal(syscall.SIGTERM) }, func() { m.kill(); restart() }}
	case 3:
		return fault{fmt.Sprintf("store of %s %v", m.name, mode), func() { m.storeProxy.SetMode(mode) }, func() { m.storeProxy.SetMode(Pass) }}
	case 4:
		return fault{fmt.Sprintf("worker %d %v", n, mode), func() { w.SetMode(mode) }, func() { w.SetMode(Pass) }}
	case 5:
		return fault{fmt.Sprintf("worker %d crashes", n), func() { s.crashWorker(n) }, func() { s.restartWorker(n) }}
	case 6:
		return fault{fmt.Sprintf("worker %d hangs", n), func() { s.setWorkerMode(n, fleet.Hanging) }, func() { s.setWorkerMode(n, fleet.Healthy) }}
	case 7:
		f := storeFaults[rng.IntN(len(storeFaults))]
		return fault{fmt.Sprintf("store %+v", f), func() { s.store.SetFault(f) }, func() { s.store.SetFault(store.Fault{}) }}
	case 8:
		return fault{"all machines killed", s.killAll, s.startAll}
	case 9:
		return fault{fmt.Sprintf("links of %s, %v", m.name, mode), func() { m.linkProxy.SetMode(mode) }, func() { m.linkProxy.SetMode(Pass) }}
	case 10:
		f := storeFaults[rng.IntN(len(storeFaults))]
		for _, t := range s.store.Topics() {
			if rng.IntN(3) == 0 {
				f.Topics = append(f.Topics, t)
			}
		}
		return fault{fmt.Sprintf("topics of the store %+v", f), func() { s.store.SetFault(f) }, func() { s.store.SetFault(store.Fault{}) }}
	case 11:
		d := dataCentre(n)
		return fault{"drain " + d, func() { s.drain(d) }, func() { s.takeBack(d) }}
	case 12:
		routes := rng.IntN(3000)
		return fault{fmt.Sprintf("policy with %d more routes", routes), func() { s.putPolicy(routes) }, func() {}}
	case 13:
		return fault{fmt.Sprintf("worker %d shrinks", n), func() { s.resizeWorker(n, 2) }, func() { s.resizeWorker(n, 1) }}
	default:
		return fault{"SIGHUP to " + m.name, func() { m.signal(syscall.SIGHUP) }, func() {}}
	}
}

// drainBound is how long after its request a drain must be in force while other faults
// may delay it.
const drainBound = 8 * time.Second

func (s *testbed) drain(dataCentre string) {
	s.store.Put(platform.TopicPolicy, platform.DrainKeyPrefix+dataCentre, []byte("{}"))
	s.fleet.With(func(f *fleet.Fleet) { f.Drain(dataCentre, f.Now()+drainBound) })
}

func (s *testbed) takeBack(dataCentre string) {
	s.fleet.With(func(f *fleet.Fleet) { f.TakeBack(dataCentre) })
	s.store.Put(platform.TopicPolicy, platform.DrainKeyPrefix+dataCentre, nil)
}

func (s *testbed) crashWorker(n int) {
	s.fleet.With(func(f *fleet.Fleet) {
		m := f.Machine(workerName(n))
		m.Restart()
		m.Down = true
	})
}

func (s *testbed) restartWorker(n int) {
	s.fleet.With(func(f *fleet.Fleet) {
		m := f.Machine(workerName(n))
		m.Restart()
		m.Down = false
	})
	s.register(n)
}

func (s *testbed) setWorkerMode(n int, mode fleet.Mode) {
	s.fleet.With(func(f *fleet.Fleet) { f.Machine(workerName(n)).Mode = mode })
}

// resizeWorker sets a worker's capacity to a part of what it had. Workers that check nothing
// keep theirs: while the store fails, an owner may learn of the change too late.
func (s *testbed) resizeWorker(n, divisor int) {
	if s.unguarded() {
		return
	}
	s.fleet.With(func(f *fleet.Fleet) {
		r := s.capacity()
		f.Machine(workerName(n)).SetCapacity(job.Resources{CPU: r.CPU / divisor, MemMB: r.MemMB / divisor, GPU: r.GPU / divisor})
	})
	s.register(n)
}

func (s *testbed) killAll() {
	for _, m := range s.inService() {
		m.kill()
	}
}

func (s *testbed) startAll() {
	for _, m := range s.inService() {
		_ = m.start(s.opts.Program)
	}
}

// clearFaults ends every fault that may be in force.
func (s *testbed) clearFaults() {
	s.store.SetFault(store.Fault{})
	s.network.partition(Pass, nil)
	for n, w := range s.workers {
		s.takeBack(dataCentre(n))
		w.SetMode(Pass)
		s.setWorkerMode(n, fleet.Healthy)
		s.fleet.With(func(f *fleet.Fleet) { f.Machine(workerName(n)).Down = false })
	}
	for _, m := range s.inService() {
		m.storeProxy.SetMode(Pass)
		m.linkProxy.SetMode(Pass)
		m.signal(syscall.SIGCONT)
		_ = m.start(s.opts.Program)
	}
}
