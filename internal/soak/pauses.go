package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"coltsfootmux/internal/standin/fleet"
	"coltsfootmux/internal/standin/store"
)

// pauseStream keeps the random numbers of these faults apart from those of all others.
const pauseStream = 13

// Timing of pauses of the owner's process: past the bounds after which it loses its links and its
// term.
const (
	minPauseTime = 2500 * time.Millisecond
	maxPauseTime = 4500 * time.Millisecond
	// slowAnswer is the time of the store's answers while it is 60 times slower than usual.
	slowAnswer = 300 * time.Millisecond
	// adviceCutTime is how long the owner is without the advice service.
	adviceCutTime = 8 * time.Second
)

// pauseKinds is the number of kinds of randomPause.
const pauseKinds = 4

// singleFault is a fault that plays once; play returns when it is over.
type singleFault struct {
	name string
	play func()
}

// injectPauses plays single faults of the owner, one after another, each followed by a quiet time
// in which work must go on. It returns what came of each.
func (s *testbed) injectPauses(until time.Time, l *liveness) []string {
	rng := rand.New(rand.NewPCG(s.opts.Seed, pauseStream))
	var outcomes []string
	time.Sleep(quietTime)
	for time.Now().Add(adviceCutTime + quietTime).Before(until) {
		owner, before := s.owner()
		if owner == nil {
			owner = s.inService()[0]
		}
		f := s.randomPause(rng, owner)
		l.summary()
		s.logFault("begins", f.name)
		s.calm.begin()
		s.startAll() // one that an earlier fault killed
		f.play()
		s.calm.end()
		_ = s.addToService() // a machine that doesn't start is like one that is down
		s.logFault("ends", f.name)
		time.Sleep(quietTime)
		_, after := s.owner()
		outcomes = append(outcomes, fmt.Sprintf("%s: terms %d to %d, %s", f.name, before, after, l.summary()))
		s.logFault("outcome", outcomes[len(outcomes)-1])
	}
	return outcomes
}

// randomPause returns a random fault of the owner, or one of the kind that the options ask for.
func (s *testbed) randomPause(rng *rand.Rand, owner *machine) singleFault {
	d := minPauseTime + time.Duration(rng.Int64N(int64(maxPauseTime-minPauseTime)))
	within := time.Duration(rng.Int64N(int64(d)))
	other, back := s.inService()[rng.IntN(len(s.inService()))], rng.IntN(2) == 0
	mode := [...]Mode{DropAll, DropReplies, Reset}[rng.IntN(3)]
	kind := rng.IntN(pauseKinds)
	if s.opts.PauseKind > 0 {
		kind = s.opts.PauseKind - 1
	}
	name := fmt.Sprintf("%s is paused for %v", owner.name, d.Truncate(time.Millisecond))
	switch kind {
	case 0:
		return singleFault{name, func() { pauseMachine(owner, d, func() {}) }}
	case 1:
		for other == owner && len(s.inService()) > 1 {
			other = s.inService()[rng.IntN(len(s.inService()))]
		}
		name += fmt.Sprintf(", %s is killed after %v, back at the end: %v", other.name, within.Truncate(time.Millisecond), back)
		return singleFault{name, func() {
			pauseMachine(owner, d, func() { time.Sleep(within); other.kill() })
			if back {
				s.startAll()
			}
		}}
	case 2:
		return singleFault{name + ", the store is slow", func() {
			s.store.SetFault(store.Fault{Slow: slowAnswer})
			pauseMachine(owner, d, func() {})
			s.store.SetFault(store.Fault{})
		}}
	default:
		return singleFault{fmt.Sprintf("%s is cut from the advice service, %v", owner.name, mode), func() { s.cutAdvice(owner, mode) }}
	}
}

// pauseMachine stops a machine's process for some time, during which it calls meanwhile.
func pauseMachine(m *machine, d time.Duration, meanwhile func()) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	m.stop()
	meanwhile()
	<-ctx.Done()
	m.signal(syscall.SIGCONT)
}

// cutAdvice cuts a machine from the advice service. Work that needs none has to go on.
func (s *testbed) cutAdvice(m *machine, mode Mode) {
	s.fleet.With(func(f *fleet.Fleet) { f.AdviceCut = true })
	s.network.setRule("advice", cutFrom(m.name, []string{adviceName}, mode, mode))
	s.calm.end()
	time.Sleep(adviceCutTime)
	s.calm.begin()
	s.network.setRule("advice", nil)
	s.fleet.With(func(f *fleet.Fleet) { f.AdviceCut = false })
}
