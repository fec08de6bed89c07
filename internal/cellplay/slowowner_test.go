package cellplay

import (
	"testing"
	"time"
)

// Speeds of an owner's processor: all of it, half and a quarter. All of it is enough for the load
// of slowOwnerTrace, with little to spare.
const (
	fullSpeed    = 0.2
	halfSpeed    = fullSpeed / 2
	quarterSpeed = fullSpeed / 4
)

// maxLossAtHalf is the part of its jobs that a kind may lose in addition at half of the speed.
const maxLossAtHalf = 0.05

// slowOwnerTrace draws a trace in which urgent jobs come twice as often for a while, for an owner
// whose processor has the given speed.
func slowOwnerTrace(seed uint64, speed float64) Trace {
	m := LargeCooperative()
	return Draw(&m, Params{
		Workers: 350, Load: 1.2, ArrivalPeriod: 20 * time.Second, Seed: seed, ProcessorSpeed: speed, Burst: 2, DrainTime: 20 * time.Second,
	})
}

// inTime returns the part of the jobs of each kind that were done within their objective.
func inTime(r Result) map[string]float64 {
	out := make(map[string]float64)
	for _, k := range r.Kinds {
		out[k.Kind] = k.WithinObjective
	}
	return out
}

// TestOwnerAtHalfOfItsProcessorKeepsUrgentWorkInTime guards against a congestion collapse: at half of
// the processor time that the load needs, 0.39 to 0.72 of the urgent jobs were late.
func TestOwnerAtHalfOfItsProcessorKeepsUrgentWorkInTime(t *testing.T) {
	for seed := range uint64(3) {
		full, half := Simulate(slowOwnerTrace(seed, fullSpeed), Rankings()[0]), Simulate(slowOwnerTrace(seed, halfSpeed), Rankings()[0])
		a, b := inTime(full)["dewar-reserve"], inTime(half)["dewar-reserve"]
		if b < a-maxLossAtHalf || len(full.Violations)+len(half.Violations) > 0 {
			t.Errorf("seed %d: %.3f of the urgent jobs in time at full speed, %.3f at half; violations %v %v", seed, a, b, full.Violations, half.Violations)
		}
	}
}

// floorAtQuarter is the part of the urgent jobs that has to be in time at a quarter of the speed: the
// users' floor of a kind.
const floorAtQuarter = 0.43

// TestOwnerAtAQuarterOfItsProcessorServesUrgentWorkFirst guards against an owner that serves nobody as it
// can't serve all: at a quarter of the processor time that the load needs no urgent job was in time.
func TestOwnerAtAQuarterOfItsProcessorServesUrgentWorkFirst(t *testing.T) {
	for seed := range uint64(3) {
		r := Simulate(slowOwnerTrace(seed, quarterSpeed), Rankings()[0])
		if got := inTime(r)["dewar-reserve"]; got < floorAtQuarter || len(r.Violations) > 0 {
			t.Errorf("seed %d: %.3f of the urgent jobs in time, violations %v", seed, got, r.Violations)
		}
	}
}

// leastServed is the part of the urgent jobs, refused ones included, that a sixth of the processor time has
// to serve in time: all of that time is enough for all jobs, and urgent ones come first.
const leastServed = 1.0 / 6

// TestOwnerAtASixthOfItsProcessorServesWhatIsAccepted guards against jobs that are accepted although the
// owner can't start them in time: what can't be served should be refused at once, and no more than that.
func TestOwnerAtASixthOfItsProcessorServesWhatIsAccepted(t *testing.T) {
	for seed := range uint64(3) {
		trace := slowOwnerTrace(seed, fullSpeed/6)
		trace.Params.Acceptance = true
		r := Simulate(trace, Rankings()[0])
		k := kindOf(r, "dewar-reserve")
		served := k.WithinObjective * float64(k.Jobs) / float64(k.Jobs+k.Refused)
		if k.WithinObjective < floorAtQuarter || served < leastServed || len(r.Violations) > 0 {
			t.Errorf("seed %d: %.3f of %d accepted urgent jobs in time, %.3f of all, refused %v, violations %v", seed, k.WithinObjective, k.Jobs, served, refused(r), r.Violations)
		}
	}
}

// TestJobsAreNotRefusedForSlowWorkers guards against an owner with processor time enough that orders little and
// has jobs refused, as its workers answer late.
func TestJobsAreNotRefusedForSlowWorkers(t *testing.T) {
	for seed := range uint64(3) {
		trace := slowOwnerTrace(seed, 4*fullSpeed)
		trace.Params.Acceptance, trace.Params.StartAnswerTime = true, 600*time.Millisecond
		r := Simulate(trace, Rankings()[0])
		for priority, share := range refused(r) {
			if share > 0 {
				t.Errorf("seed %d: %.3f of the jobs of priority %d refused", seed, share, priority)
			}
		}
	}
}

// kindOf returns the result of a kind.
func kindOf(r Result, kind string) KindResult {
	for _, k := range r.Kinds {
		if k.Kind == kind {
			return k
		}
	}
	return KindResult{}
}

// refused returns the part of the jobs of each priority that was refused.
func refused(r Result) map[int]float64 {
	out := make(map[int]float64)
	for _, k := range r.Kinds {
		out[k.Priority] = float64(k.Refused) / float64(k.Jobs+k.Refused)
	}
	return out
}

// TestLessUrgentJobsAreRefusedFirst guards against an owner short of processor time that refuses urgent jobs
// while it accepts others, and against refusals by an owner that has the time.
func TestLessUrgentJobsAreRefusedFirst(t *testing.T) {
	for name, c := range map[string]struct {
		speed float64
		some  bool
	}{"all of the processor": {fullSpeed, false}, "a sixth": {fullSpeed / 6, true}} {
		t.Run(name, func(t *testing.T) {
			trace := slowOwnerTrace(0, c.speed)
			trace.Params.Acceptance = true
			got := refused(Simulate(trace, Rankings()[0]))
			if got[0] > got[1] || got[1] > got[2] || c.some != (got[2] > 0) {
				t.Errorf("refused by priority: %v", got)
			}
		})
	}
}
