package core_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootmux/internal/link/core"
)

func TestTokenBucketKeepsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, chunk = 100_000, 5_000
		b := core.NewTokenBucket(rate)
		now, taken := startTime, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			priority := rapid.SampledFrom([]core.Priority{core.PriorityNormal, core.PriorityLow}).Draw(t, "priority")
			n := rapid.IntRange(1, chunk).Draw(t, "bytes")
			wait := b.Take(now, priority, n)
			if wait == 0 {
				taken += n
				continue
			}
			now = now.Add(wait)
		}
		if most := rate + int(rate*now.Sub(startTime).Seconds()) + chunk; taken > most {
			t.Fatalf("%d bytes in %v, want at most %d", taken, now.Sub(startTime), most)
		}
	})
}

func TestLowPriorityWaitsFirstAndControlNeverWaits(t *testing.T) {
	b := core.NewTokenBucket(1000)
	b.Take(startTime, core.PriorityNormal, 600)
	if b.Take(startTime, core.PriorityLow, 1) == 0 {
		t.Error("a summary did not wait although half of the tokens are used")
	}
	if b.Take(startTime, core.PriorityNormal, 500) != 0 {
		t.Error("a call waited although tokens are left")
	}
	if b.Take(startTime, core.PriorityNormal, 1) == 0 {
		t.Error("a call did not wait although no tokens are left")
	}
	if b.Take(startTime, core.PriorityControl, 10_000) != 0 {
		t.Error("a heartbeat waited")
	}
	wait := b.Take(startTime, core.PriorityNormal, 1)
	if b.Take(startTime.Add(wait+time.Millisecond), core.PriorityNormal, 1) != 0 {
		t.Error("a call still waited after the time it was told to wait")
	}
}

func TestRateOfZeroSetsNoBound(t *testing.T) {
	b := core.NewTokenBucket(0)
	if b.Take(startTime, core.PriorityLow, 1<<30) != 0 {
		t.Fatal("a rate of zero made a call wait")
	}
}
