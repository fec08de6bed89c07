package startwindow

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// most is the greatest size of the tests' windows.
const most = 64

// order simulates an owner that always has starts to order, for a time. Its processor needs the time
// each for a start and its answer, which takes the way there and back as well. It returns the ages of
// the answers of the last half of the time, and how many there were in each second.
func order(span, way, each time.Duration) (oldest time.Duration, perSecond float64) {
	var w Window
	var sent []time.Duration
	now, free, answers := time.Duration(0), time.Duration(0), 0
	for now < span {
		for len(sent) < w.Size(most) {
			sent = append(sent, now)
		}
		free = max(free, sent[0]+way) + each
		now = free
		w.Answered(now, sent[0], max(0, now-sent[0]-way), most)
		if now > span/2 {
			oldest = max(oldest, now-sent[0])
			answers++
		}
		sent = sent[1:]
	}
	return oldest, float64(answers) / (span / 2).Seconds()
}

// TestAnswersDoNotAge guards against starts that wait for each other on a slow processor: 64 at 25 ms each
// were answered after 1.6 s.
func TestAnswersDoNotAge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		way := time.Duration(rapid.IntRange(1, 100).Draw(rt, "way ms")) * ms
		each := time.Duration(rapid.IntRange(100, 25_000).Draw(rt, "each us")) * time.Microsecond
		if oldest, _ := order(20*time.Second, way, each); oldest > 500*ms {
			rt.Errorf("an answer was %v old", oldest)
		}
	})
}

// TestWindowKeepsTheProcessorBusy guards against a window that is too small for long ways.
func TestWindowKeepsTheProcessorBusy(t *testing.T) {
	for _, each := range []time.Duration{3 * ms, 10 * ms, 25 * ms} {
		if _, rate := order(20*time.Second, 90*ms, each); rate < 0.75/each.Seconds() {
			t.Errorf("%.0f starts a second at %v each", rate, each)
		}
	}
}

// TestOneBurstOfLateAnswersShrinksTheWindowOnce guards against a pause of the process after which nothing
// is ordered.
func TestOneBurstOfLateAnswersShrinksTheWindowOnce(t *testing.T) {
	var w Window
	for range most {
		w.Answered(2*time.Second, time.Second, 500*ms, most)
	}
	if got := w.Size(most); got < most/2 {
		t.Errorf("%d of %d", got, most)
	}
}

// TestSlowWorkersDoNotShrinkTheWindow guards against an owner with processor time enough that orders little, as
// its workers answer late.
func TestSlowWorkersDoNotShrinkTheWindow(t *testing.T) {
	var w Window
	for now := time.Second; now < time.Minute; now += 100 * ms {
		w.Answered(now, now-700*ms, 2*ms, most)
	}
	if got := w.Size(most); got != most {
		t.Errorf("%d of %d", got, most)
	}
}
