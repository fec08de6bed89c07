package limits_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootmux/internal/core/limits"
	_ "coltsfootmux/internal/testseed"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func TestRateHoldsOverAnyPatternOfCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.5, 200).Draw(t, "rate")
		r := limits.NewRates[string](time.Second)
		now, allowed := start, 0
		for range rapid.IntRange(1, 300).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			ok, wait := r.Allow(now, "a", perSecond)
			if ok {
				allowed++
			} else if wait <= 0 {
				t.Fatal("refused without a time to wait")
			}
		}
		bound := max(1, perSecond) + perSecond*now.Sub(start).Seconds() + 1
		if float64(allowed) > bound {
			t.Fatalf("%d allowed, bound %.1f", allowed, bound)
		}
	})
}

func TestWaitOfARefusedCallIsEnough(t *testing.T) {
	r := limits.NewRates[string](time.Second)
	now := start
	for range 5 {
		r.Allow(now, "a", 5)
	}
	ok, wait := r.Allow(now, "a", 5)
	if ok {
		t.Fatal("sixth call of a burst of five was allowed")
	}
	if ok, _ := r.Allow(now.Add(wait), "a", 5); !ok {
		t.Fatal("refused again after the wait that was asked for")
	}
}

func TestOneNameDoesNotUseUpAnothersRate(t *testing.T) {
	r := limits.NewRates[string](time.Second)
	for range 100 {
		r.Allow(start, "loud", 1)
	}
	if ok, _ := r.Allow(start, "quiet", 1); !ok {
		t.Fatal("the quiet name was refused")
	}
	r.Sweep(start.Add(time.Hour), time.Minute)
	if r.Len() != 0 {
		t.Fatalf("%d names held after a sweep", r.Len())
	}
}

func TestConcurrencyNeverPassesItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 5).Draw(t, "bound")
		c, open := limits.NewConcurrency[int](), make(map[int]int)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			name := rapid.IntRange(0, 2).Draw(t, "name")
			if rapid.Bool().Draw(t, "release") && open[name] > 0 {
				c.Release(name)
				open[name]--
			} else if c.Acquire(name, bound) {
				open[name]++
			} else if open[name] < bound {
				t.Fatalf("refused with %d of %d open", open[name], bound)
			}
			if open[name] > bound || c.Open(name) != open[name] {
				t.Fatalf("%d open, counted %d, bound %d", open[name], c.Open(name), bound)
			}
		}
	})
}

func TestRetriesStayAShareOfFirstTries(t *testing.T) {
	const share, reserve = 0.1, 10
	b := limits.NewRetryBudget(share, reserve)
	retries := 0
	for range 1000 {
		b.First()
		for range 3 {
			if b.Retry() {
				retries++
			}
		}
	}
	if got, most := retries, int(1000*share)+reserve; got > most || got < most-1 {
		t.Fatalf("%d retries, want about %d", got, most)
	}
}

func TestQuietTimeSavesUpNoMoreThanTheReserve(t *testing.T) {
	b := limits.NewRetryBudget(0.5, 4)
	for range 1000 {
		b.First()
	}
	retries := 0
	for b.Retry() {
		retries++
	}
	if retries != 4 {
		t.Fatalf("%d retries at once, reserve 4", retries)
	}
}

func TestBackoffGrowsWithinItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := limits.Backoff{Min: 10 * time.Millisecond, Max: time.Second}
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		n := rapid.IntRange(-3, 100).Draw(t, "n")
		span := min(b.Min<<min(max(n, 1)-1, 20), b.Max)
		if w := b.Wait(n, r); w < span/2 || w > span {
			t.Fatalf("retry %d: waits %v, span %v", n, w, span)
		}
	})
}
