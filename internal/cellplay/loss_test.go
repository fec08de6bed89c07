package cellplay

import (
	"flag"
	"testing"
	"time"
)

var (
	lossWorkers = flag.Int("loss-workers", 88, "number of workers of the replay of preemption")
	lossFirst   = flag.Uint64("loss-first-seed", 0, "first seed of the replay of preemption")
	lossSeeds   = flag.Int("loss-seeds", 3, "number of seeds of the replay of preemption")
)

// heavyTrace draws urgent arrivals at the heavy rate of deployment R over a full pool.
func heavyTrace(seed uint64, wait time.Duration) Trace {
	m := HeavyReserve()
	return Draw(&m, Params{
		Workers: *lossWorkers, Load: 1, ArrivalPeriod: 34 * time.Second, Seed: seed, Burst: 2.3,
		StopTime: 400 * time.Millisecond, ReclaimWithin: 2900 * time.Millisecond, PreemptionWait: wait,
	})
}

// TestPreemptionLosesLessWork replays urgent arrivals over a full pool with and without
// PreemptionWait. It guards against victims that lose more work than necessary, and
// against urgent work that is later because of the choice.
func TestPreemptionLosesLessWork(t *testing.T) {
	var sums [2]Loss
	for seed := *lossFirst; seed < *lossFirst+uint64(*lossSeeds); seed++ {
		for i, wait := range []time.Duration{0, 900 * time.Millisecond} {
			r := Simulate(heavyTrace(seed, wait), Rankings()[0])
			if r.Unfinished > 0 || len(r.Violations) > 0 || r.Loss.LateReclaims > 0 {
				t.Errorf("seed %d, wait %v: %d jobs unfinished, %d urgent ones past the bound, violations %v", seed, wait, r.Unfinished, r.Loss.LateReclaims, r.Violations)
			}
			sums[i].add(&r.Loss)
			t.Logf("seed %d, wait %v: %d starts, %+v, %+v", seed, wait, r.Starts, r.Loss, r.Kinds)
		}
	}
	t.Logf("sum without: %+v", sums[0])
	t.Logf("sum with:    %+v", sums[1])
	if sums[1].CoreSeconds > 0.6*sums[0].CoreSeconds {
		t.Errorf("%.0f core-seconds were lost, %.0f without PreemptionWait", sums[1].CoreSeconds, sums[0].CoreSeconds)
	}
	if sums[1].Late > sums[0].Late || sums[1].Lateness > sums[0].Lateness {
		t.Errorf("%d urgent jobs were late by %v, %d by %v without PreemptionWait", sums[1].Late, sums[1].Lateness, sums[0].Late, sums[0].Lateness)
	}
}

func (l *Loss) add(o *Loss) {
	l.CoreSeconds += o.CoreSeconds
	l.GangCoreSeconds += o.GangCoreSeconds
	l.RepeatedCoreSeconds += o.RepeatedCoreSeconds
	l.UnsavedCoreSeconds += o.UnsavedCoreSeconds
	l.Runs += o.Runs
	l.Awaited += o.Awaited
	l.Avoided += o.Avoided
	l.LateReclaims += o.LateReclaims
	l.Late += o.Late
	l.Lateness += o.Lateness
}
