package contact

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulateTakeover simulates a takeover: each answer takes the link's time, waits behind
// other work of the process for the lag, and then in a queue for the processor, which needs
// the time each for it. It returns the time until all workers have answered and the age of
// the oldest answer when processed.
func simulateTakeover(workers int, link, lag, each time.Duration) (took, oldest time.Duration) {
	w := New()
	var queue []time.Duration // when each request was sent, oldest first
	now, free, sent := time.Duration(0), time.Duration(0), 0
	for done := 0; done < workers; {
		for len(queue) < w.Size() && sent < workers {
			queue = append(queue, now)
			sent++
		}
		free = max(free, queue[0]+link+lag) + each
		now = free
		age := now - queue[0]
		oldest = max(oldest, age)
		w.Answered(age)
		queue = queue[1:]
		done++
	}
	return now, oldest
}

// TestStrongMachineAsksAllWorkersInHalfASecond guards against a window that is too small
// for long links: 1,100 workers 85 ms away, at 0.3 ms an answer, took 1.5 s with a window
// of 64.
func TestStrongMachineAsksAllWorkersInHalfASecond(t *testing.T) {
	if took, _ := simulateTakeover(1100, 85*time.Millisecond, 0, 300*time.Microsecond); took > 500*time.Millisecond {
		t.Errorf("it took %v", took)
	}
}

// TestAWeakMachineHasNoAnswersThatAge guards against a delayed renewal of the term, which
// is due every 0.5 s and waits behind the answers.
func TestAWeakMachineHasNoAnswersThatAge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		workers := rapid.IntRange(1, 3000).Draw(rt, "workers")
		link := time.Duration(rapid.IntRange(1, 100).Draw(rt, "link ms")) * time.Millisecond
		each := time.Duration(rapid.IntRange(100, 2500).Draw(rt, "each us")) * time.Microsecond
		if _, oldest := simulateTakeover(workers, link, 0, each); oldest > 500*time.Millisecond {
			rt.Errorf("an answer was %v old", oldest)
		}
	})
}

// reclaimTime is the time within which urgent work has to start, also after a takeover.
const reclaimTime = 2700 * time.Millisecond

// TestTakeoverDoesNotStarveBesideOtherWork guards against a window that shrinks to its minimum
// for the lag that other work causes: first contacts then came at 50 a second, and inherited jobs
// waited for all of them.
func TestTakeoverDoesNotStarveBesideOtherWork(t *testing.T) {
	if took, _ := simulateTakeover(1100, 85*time.Millisecond, 200*time.Millisecond, 300*time.Microsecond); took > reclaimTime {
		t.Errorf("it took %v", took)
	}
}
