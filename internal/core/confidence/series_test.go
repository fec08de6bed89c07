package confidence

import (
	"testing"
	"time"
)

// TestOwnerThatAnswersNowAndThenIsVotedAgainst guards against an owner that runs for a moment between long
// stops, in which it answers a check and renews its term, so that it never counts as silent.
func TestOwnerThatAnswersNowAndThenIsVotedAgainst(t *testing.T) {
	const run = 300 * time.Millisecond
	for _, stop := range []time.Duration{2 * time.Second, 2500 * time.Millisecond, 3 * time.Second, 3500 * time.Millisecond, 4500 * time.Millisecond} {
		for phase := time.Duration(0); phase < stop+run; phase += tick {
			s := newScene()
			s.owner = func(at time.Duration) bool {
				in := (at + phase) % (stop + run) // a check waits for an answer until the next run
				return in < run || in > stop+run-answerTimeout
			}
			votes := s.play(20 * time.Second).votes
			if len(votes) == 0 || votes[0] > spanOfMost+2*checkInterval {
				t.Errorf("stops of %v, phase %v: votes %v", stop, phase, votes)
			}
		}
	}
}
