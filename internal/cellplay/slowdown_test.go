package cellplay

import (
	"testing"
	"time"
)

const (
	// recoverTime is how long after a fault service is as before: the platform's recover_s.
	recoverTime = 12 * time.Second
	slowFrom    = 6 * time.Second
	slowTime    = 5 * time.Second
)

// TestCollapseDoesNotOutlastALackOfProcessorTime guards against an owner that is late for good after some
// seconds without processor time, as its own work has grown meanwhile.
func TestCollapseDoesNotOutlastALackOfProcessorTime(t *testing.T) {
	for _, seed := range []uint64{0} {
		m := LargeCooperative()
		trace := Draw(&m, Params{Workers: 350, Load: 1, ArrivalPeriod: 30 * time.Second, Seed: seed, ProcessorSpeed: fullSpeed, DrainTime: 15 * time.Second})
		trace.CountFrom = slowFrom + slowTime + recoverTime
		calm := Simulate(trace, Rankings()[0])
		trace.Slowdowns = []Slowdown{{At: slowFrom, Duration: slowTime, Speed: fullSpeed / 12}}
		slow := Simulate(trace, Rankings()[0])
		before, after := kindOf(calm, "dewar-reserve"), kindOf(slow, "dewar-reserve")
		if after.WithinObjective < before.WithinObjective-maxLossAtHalf || slow.IncompleteGangs > 0 || len(slow.Violations) > 0 {
			t.Errorf("seed %d: %.3f of %d urgent jobs in time without a slowdown, %.3f after it, %d members ran alone, violations %v", seed, before.WithinObjective, before.Jobs, after.WithinObjective, slow.IncompleteGangs, slow.Violations)
		}
	}
}
