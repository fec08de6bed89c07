package soak

import (
	"syscall"
	"testing"
	"time"

	"coltsfootmux/internal/standin/fleet"
)

// TestPauseEndsAfterItsTime guards against pauses that are shorter than what happens in them.
func TestPauseEndsAfterItsTime(t *testing.T) {
	s := newSmallTestbed(t)
	m := s.machines[0]
	time.Sleep(startupTime)
	began, during := time.Now(), false
	pauseMachine(m, 1500*time.Millisecond, func() {
		during = newCallers(s).callMachine(m, "GET", &submittedJob{path: "/q/0123456789abcdef", key: steadyKey}, nil, nil) == 0
	})
	if d := time.Since(began); d < 1500*time.Millisecond || !during {
		t.Errorf("paused for %v, silent: %v", d, during)
	}
	if status := newCallers(s).callMachine(m, "GET", &submittedJob{path: "/q/0123456789abcdef", key: steadyKey}, nil, nil); status == 0 {
		t.Error("no answer after the pause")
	}
}

// TestStoppedMachineAnswersNothing guards against pauses in whose first moment the process goes on: 119 of
// 300 calls right after the signal were answered.
func TestStoppedMachineAnswersNothing(t *testing.T) {
	s := newSmallTestbed(t)
	m, c := s.machines[0], newCallers(s)
	time.Sleep(startupTime)
	call := func() int {
		return c.callMachine(m, "GET", &submittedJob{path: "/q/0123456789abcdef", key: steadyKey}, nil, nil)
	}
	for n := range 100 {
		call() // leaves an open connection
		m.stop()
		answered := make(chan int, 1)
		go func() { answered <- call() }()
		time.Sleep(5 * time.Millisecond)
		if len(answered) > 0 {
			t.Errorf("call %d was answered while the process was stopped", n)
		}
		m.signal(syscall.SIGCONT)
		<-answered
	}
}

// TestAdviceCutEnds guards against work that needs advice and never counts again after a cut.
func TestAdviceCutEnds(t *testing.T) {
	s := &testbed{machines: []*machine{{name: "front-0"}}}
	s.fleet = fleet.NewLive(s.work)
	s.calm.begin()
	cut := make(chan struct{})
	go func() { s.cutAdvice(s.machines[0], DropAll); close(cut) }()
	time.Sleep(500 * time.Millisecond)
	if m := s.network.modeBetween("front-0", adviceName); m != DropAll {
		t.Errorf("during the cut: %v", m)
	}
	if _, _, ok := s.calm.allowance(); !ok {
		t.Error("work that needs no advice does not count during the cut")
	}
	<-cut
	if m := s.network.modeBetween("front-0", adviceName); m != Pass {
		t.Errorf("after the cut: %v", m)
	}
	s.fleet.With(func(f *fleet.Fleet) {
		if f.AdviceCut {
			t.Error("the fleet is without advice")
		}
	})
}
