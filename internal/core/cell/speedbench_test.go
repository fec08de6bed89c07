package cell

import (
	"testing"
	"time"

	"coltsfootmux/internal/core/speed"
)

// BenchmarkPassOverUnevenPool is BenchmarkPassOverFullPool with speeds that are taken into
// account.
func BenchmarkPassOverUnevenPool(b *testing.B) {
	c := fullCell(350, 200)
	c.settings.WorkerSpeedRatio = 1.8
	learn := func(now time.Duration) {
		for n, w := range c.fleet {
			percent := 120
			if n%4 == 0 {
				percent = 55
			}
			*c.speedOf(w) = *speed.Stored(percent, now)
		}
	}
	now := c.now
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%256 == 0 {
			learn(now.Mono) // before the factors fade
		}
		now.Mono += 60 * time.Millisecond
		c.placementDue = true
		c.termConfirmedAt = now.Mono
		c.Step(now, Tick{})
	}
	if !c.speedPool("p").Open {
		b.Fatal("the gate is closed")
	}
}
