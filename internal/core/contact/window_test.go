package contact

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// asked plays a take-over: answers take the links' time, and those that the
// processor has not come to wait in a queue. It gives the time until all workers
// have answered, and the age of the oldest answer.
func asked(workers int, link, each time.Duration) (took, oldest time.Duration) {
	w := New()
	var queue []time.Duration // when each question was sent, oldest first
	now, free, sent := time.Duration(0), time.Duration(0), 0
	for done := 0; done < workers; {
		for len(queue) < w.Size() && sent < workers {
			queue = append(queue, now)
			sent++
		}
		free = max(free, queue[0]+link) + each
		now = free
		age := now - queue[0]
		oldest = max(oldest, age)
		w.Answered(age)
		queue = queue[1:]
		done++
	}
	return now, oldest
}

// TestAStrongMachineAsksAWholeFleetInHalfASecond: 1,100 workers 85 ms away at 0.3 ms
// each took 1.5 s with 64 at once.
func TestAStrongMachineAsksAWholeFleetInHalfASecond(t *testing.T) {
	if took, _ := asked(1100, 85*time.Millisecond, 300*time.Microsecond); took > 500*time.Millisecond {
		t.Errorf("it took %v", took)
	}
}

// TestAWeakMachineHasNoAnswersThatAge: a renewal of the term, every 0.5 s, waits
// behind the answers.
func TestAWeakMachineHasNoAnswersThatAge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		workers := rapid.IntRange(1, 3000).Draw(rt, "workers")
		link := time.Duration(rapid.IntRange(1, 100).Draw(rt, "link ms")) * time.Millisecond
		each := time.Duration(rapid.IntRange(100, 2500).Draw(rt, "each us")) * time.Microsecond
		if _, oldest := asked(workers, link, each); oldest > 500*time.Millisecond {
			rt.Errorf("an answer was %v old", oldest)
		}
	})
}
