package confidence

import (
	"testing"
	"time"
)

// TestVotesOfMostWitnessesMeet guards against witnesses of which each votes more and more rarely, at times of
// its own: an owner that most of them get no answer from reads too few votes within firstVoteInterval.
func TestVotesOfMostWitnessesMeet(t *testing.T) {
	const early, late = 10 * time.Second, 100 * time.Second
	var votes [][]time.Duration
	counts := func(at time.Duration) (n int) {
		for _, vs := range votes {
			for _, v := range vs {
				if v <= at && at < v+firstVoteInterval {
					n++
					break
				}
			}
		}
		return n
	}
	for _, silentFrom := range []time.Duration{late, early, early} {
		s := newScene()
		s.owner = until(silentFrom)
		s.othersVote = func(at time.Duration) bool { return counts(at-tick) > 0 } // those that were played before
		votes = append(votes, s.play(15*time.Minute).votes)
	}
	for at := late; at < late+time.Minute; at += tick {
		if counts(at) == len(votes) {
			t.Logf("%v after most witnesses got no answer", at-late)
			return
		}
	}
	t.Errorf("no three votes count together within a minute: %v", votes)
}

// TestWitnessOnABusyMachineVotes guards against an owner that keeps its term because all of its witnesses run
// on weak machines, whose ticks come late.
func TestWitnessOnABusyMachineVotes(t *testing.T) {
	for _, late := range []time.Duration{500 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond} {
		s := newScene()
		s.owner = until(10 * time.Second)
		s.runs = func(at time.Duration) bool { return at%late == 0 }
		if got := s.play(5 * time.Minute).votes; len(got) == 0 {
			t.Errorf("ticks every %v: no vote in 5 min", late)
		}
	}
}
