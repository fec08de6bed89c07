package cell

import (
	"testing"

	"pgregory.net/rapid"

	"coltsfootmux/internal/core/room"
	"coltsfootmux/internal/job"
)

// If the bound rejected tasks that fit, they would wait although workers are free.
func TestRoomBoundNeverRejectsWhatFits(t *testing.T) {
	amount := rapid.Custom(func(rt *rapid.T) job.Resources {
		return job.Resources{
			CPU: rapid.IntRange(0, 32).Draw(rt, "cpu"), MemMB: rapid.IntRange(0, 64).Draw(rt, "mem"),
			GPU: rapid.IntRange(0, 8).Draw(rt, "gpu"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		rooms := rapid.SliceOfN(amount, 1, 8).Draw(rt, "rooms")
		need := amount.Draw(rt, "need")
		var b room.Bound
		fit := 0
		for _, r := range rooms {
			b.Add(r)
			for r.Covers(need) && fit < 64 {
				r = r.Minus(need)
				fit++
			}
		}
		s := &job.Step{CPU: need.CPU, MemMB: need.MemMB, GPU: need.GPU}
		if fit > 0 && !b.MayFit(s, fit) {
			rt.Errorf("%d tasks of %+v fit into %v, but the bound rejects them", fit, need, rooms)
		}
	})
}
