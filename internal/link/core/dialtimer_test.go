package core_test

import (
	"testing"
	"time"

	"coltsfootmux/internal/link/core"
)

// TestLateProcessDoesNotGiveUpItsDials guards against a process that was paused and takes the peers that it
// was dialling for unreachable, as their answers wait in its sockets.
func TestLateProcessDoesNotGiveUpItsDials(t *testing.T) {
	timer := core.NewDialTimer(startTime, time.Second)
	now := startTime.Add(5 * time.Second)
	if timer.Expired(now) {
		t.Fatal("given up at the first check after a stop")
	}
	if now = now.Add(timer.Interval()); timer.Expired(now) {
		t.Fatal("given up a quarter of the limit after a stop")
	}
}

// TestDialsAreGivenUpInTime bounds the time that a late process allows for itself.
func TestDialsAreGivenUpInTime(t *testing.T) {
	for name, c := range map[string]struct {
		between time.Duration
		checks  int
	}{
		"in time":                 {250 * time.Millisecond, 4},
		"late by the interval":    {500 * time.Millisecond, 2},
		"stopped for 5 s, always": {5 * time.Second, 2},
	} {
		timer, checks := core.NewDialTimer(startTime, time.Second), 1
		for now := startTime.Add(c.between); !timer.Expired(now); now = now.Add(c.between) {
			checks++
		}
		if checks != c.checks {
			t.Errorf("%s: given up at check %d, want %d", name, checks, c.checks)
		}
	}
}
