package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

// unfitStream keeps the random numbers of these faults apart from those of all others.
const unfitStream = 10

// Timing of faults that last while all else is calm.
const (
	unfitTime = 20 * time.Second
	quietTime = settleTime + standBound + time.Second
	// unfitBound is how long work may stand beside an owner that can't do it. downBound is how
	// long it may stand after the loss of most machines.
	unfitBound = 10 * time.Second
	downBound  = 12 * time.Second
)

// lastingFault is a fault beside which accepted work has to go on within a bound.
type lastingFault struct {
	fault
	bound time.Duration
	// slow faults leave the machine's process and its links alive.
	slow bool
}

// injectUnfit injects, one after another, faults that last and by which an owner can't do its
// work. It returns what came of each.
func (s *testbed) injectUnfit(until time.Time, l *liveness) []string {
	rng := rand.New(rand.NewPCG(s.opts.Seed, unfitStream))
	var outcomes []string
	for time.Now().Add(quietTime + unfitTime).Before(until) {
		time.Sleep(quietTime)
		owner, before := s.owner()
		if owner == nil {
			owner = s.inService()[0]
		}
		f := s.randomUnfit(rng, owner)
		quiet := l.summary()
		s.logFault("begins", f.name)
		_ = s.addToService() // a machine that doesn't start is like one that is down
		s.playUnfit(f, owner)
		_, after := s.owner()
		outcome := fmt.Sprintf("%s: terms %d to %d, %s (before: %s)", f.name, before, after, l.summary(), quiet)
		s.logFault("ends", outcome)
		outcomes = append(outcomes, outcome)
	}
	return outcomes
}

// playUnfit keeps a fault of an owner in force for unfitTime.
func (s *testbed) playUnfit(f lastingFault, owner *machine) {
	if s.opts.UnfitAlone {
		f.begin()
		s.calm.beginLasting(owner, f)
		time.Sleep(unfitTime)
		s.calm.begin()
	} else {
		s.calm.begin()
		f.begin()
		time.Sleep(unfitTime)
	}
	f.end()
	s.calm.end()
}

// randomUnfit returns a random fault of an owner.
func (s *testbed) randomUnfit(rng *rand.Rand, owner *machine) lastingFault {
	mode := [...]Mode{DropAll, Reset}[rng.IntN(2)]
	share := [...]float64{0, 0, 0.1, 0.25}[rng.IntN(4)]
	others := s.peersOf(owner)
	rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	workers := s.workerNames()
	rng.Shuffle(len(workers), func(i, j int) { workers[i], workers[j] = workers[j], workers[i] })
	lostWorkers := workers[int(share*float64(len(workers))):]
	lostPeers := others[int(share*float64(len(others))):]
	switch kind := s.unfitKind(rng); kind {
	case 0:
		return s.pathFault(fmt.Sprintf("%s reaches %d of %d workers, %v", owner.name, len(workers)-len(lostWorkers), len(workers), mode), cutFrom(owner.name, lostWorkers, mode, mode))
	case 1:
		return s.pathFault(fmt.Sprintf("%s is reached by %d of %d peers, %v", owner.name, len(others)-len(lostPeers), len(others), mode), cutFrom(owner.name, lostPeers, mode, mode))
	case 2:
		return s.oneWayLoss(rng, owner, others, workers)
	case 3:
		return s.narrowPath(owner, [...]int{1, 2, 5, 10}[rng.IntN(4)])
	case 4:
		return s.dutyCycle(owner, time.Duration(100+rng.IntN(1400))*time.Millisecond, 0.5+0.48*rng.Float64())
	case kindShortOfTime:
		return s.shortOfTime("all machines", s.inService(), 0.85+0.12*rng.Float64())
	case kindLongStops:
		return s.dutyCycle(owner, minStopPeriod+time.Duration(rng.Int64N(int64(maxStopPeriod-minStopPeriod))), 0.85+0.1*rng.Float64())
	case kindOwnerShortOfTime:
		return s.shortOfTime(owner.name, []*machine{owner}, 0.85+0.08*rng.Float64())
	default:
		return s.mostDown(owner, others, 1+rng.IntN(max(1, len(others)/4)))
	}
}

// unfitKind returns the kind that the options ask for, or a random one.
func (s *testbed) unfitKind(rng *rand.Rand) int {
	kind := rng.IntN(unfitKinds)
	if s.opts.UnfitKind > 0 {
		return s.opts.UnfitKind - 1
	}
	return kind
}

// unfitKinds is the number of kinds of which randomUnfit draws one. The others are played only if the
// options ask for them, so that seeds draw the faults that they did before.
const (
	unfitKinds           = 6
	kindShortOfTime      = unfitKinds
	kindLongStops        = unfitKinds + 1
	kindOwnerShortOfTime = unfitKinds + 2
)

// Periods of an owner that is stopped past the silence after which its peers give up their links with it.
const (
	minStopPeriod = 3200 * time.Millisecond
	maxStopPeriod = 5 * time.Second
)

// cutFrom is a rule for the paths between one end and some others: out holds for connections
// that it opens, in for those that it accepts.
func cutFrom(end string, others []string, out, in Mode) rule {
	lost := make(map[string]bool)
	for _, o := range others {
		lost[o] = true
	}
	return func(caller, target string) Mode {
		switch {
		case caller == end && lost[target]:
			return out
		case target == end && lost[caller]:
			return in
		}
		return Pass
	}
}

func (s *testbed) pathFault(name string, r rule) lastingFault {
	return lastingFault{fault{name, func() { s.network.setRule(name, r) }, func() { s.network.setRule(name, nil) }}, unfitBound, false}
}

// oneWayLoss loses what the owner sends, or what it receives, on its paths to all peers, to all
// workers, or to both.
func (s *testbed) oneWayLoss(rng *rand.Rand, owner *machine, others, workers []string) lastingFault {
	name, ends := "peers", others
	switch rng.IntN(3) {
	case 1:
		name, ends = "workers", workers
	case 2:
		name, ends = "peers and workers", append(others, workers...)
	}
	if rng.IntN(2) == 0 {
		return s.pathFault(owner.name+" sends in vain to "+name, cutFrom(owner.name, ends, DropRequests, DropReplies))
	}
	return s.pathFault(owner.name+" receives nothing from "+name, cutFrom(owner.name, ends, DropReplies, DropRequests))
}

func (s *testbed) narrowPath(m *machine, megabits int) lastingFault {
	const bytesPerMegabit = 1e6 / 8
	return lastingFault{fault{
		fmt.Sprintf("%s has a path of %d Mbit/s", m.name, megabits),
		func() { s.network.narrow(m.name, megabits*bytesPerMegabit) }, func() { s.network.narrow(m.name, 0) },
	}, unfitBound, false}
}

// dutyCycle stops a process for a share of each period.
func (s *testbed) dutyCycle(m *machine, period time.Duration, stopped float64) lastingFault {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	cycle := func() {
		defer close(ended)
		for ctx.Err() == nil {
			m.stop()
			time.Sleep(time.Duration(stopped * float64(period)))
			m.signal(syscall.SIGCONT)
			time.Sleep(time.Duration((1 - stopped) * float64(period)))
		}
	}
	return lastingFault{fault{
		fmt.Sprintf("%s is stopped for %.0f %% of each %v", m.name, 100*stopped, period),
		func() { go cycle() }, func() { cancel(); <-ended },
	}, unfitBound, false}
}

// shareTime is the period in which a machine that is short of processor time gets its share; answers
// are read late, while no link or term ends for one period.
const shareTime = 25 * time.Millisecond

// shortOfTime leaves the processes of some machines a part of their processor time.
func (s *testbed) shortOfTime(who string, machines []*machine, stopped float64) lastingFault {
	var cycles []lastingFault
	for _, m := range machines {
		cycles = append(cycles, s.dutyCycle(m, shareTime, stopped))
	}
	return lastingFault{fault{
		fmt.Sprintf("%.0f %% of the processor time for %s", 100*(1-stopped), who),
		func() {
			for _, c := range cycles {
				c.begin()
			}
		},
		func() {
			for _, c := range cycles {
				c.end()
			}
		},
	}, unfitBound, true}
}

// mostDown kills the owner and all of its peers but some, and starts them again at the end.
func (s *testbed) mostDown(owner *machine, others []string, kept int) lastingFault {
	down := append([]string{owner.name}, others[min(kept, len(others)):]...)
	return lastingFault{fault{
		fmt.Sprintf("%d of %d machines killed: %s", len(down), len(others)+1, strings.Join(down, " ")),
		func() { s.killMachines(down) }, s.startAll,
	}, downBound, false}
}

func (s *testbed) killMachines(names []string) {
	killed := make(chan struct{}, len(names))
	for _, name := range names {
		for _, m := range s.machines {
			if m.name == name {
				go func() { m.kill(); killed <- struct{}{} }()
			}
		}
	}
	for range names {
		<-killed
	}
}

// peersOf returns the names of the other machines in service.
func (s *testbed) peersOf(m *machine) []string {
	var names []string
	for _, o := range s.inService() {
		if o != m {
			names = append(names, o.name)
		}
	}
	return names
}

func (s *testbed) workerNames() []string {
	var names []string
	for n := range s.workers {
		names = append(names, string(workerName(n)))
	}
	return names
}
