package cell

import (
	"testing"
	"time"

	"coltsfootmux/internal/job"
)

// TestRefusedProgressEndsItsJobOnly guards against a job whose progress the store refuses and that keeps the
// ends of other jobs from being acknowledged, or whose own ends are acknowledged before its
// outcome is durable: its tasks would be started again by the next owner.
func TestRefusedProgressEndsItsJobOnly(t *testing.T) {
	sim := newSimulation(t, 111, 4)
	sim.refuses = "bad"
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	bad := oneStepJob("bad", 12)
	bad.Occurrences, bad.FirstDueMS, bad.IntervalMS = 6, sim.now.Milliseconds(), 400
	sim.submit(bad)
	for n := range 6 {
		sim.submit(oneStepJob("j"+string(rune('0'+n)), 3))
	}
	sim.runUntilDone(30 * time.Second)
	sim.check()
	for _, j := range sim.jobs {
		want := job.StatusComplete
		if j.ID == "bad" {
			want = job.StatusFailed
		}
		if s := sim.current().core.Status(j.ID); s != want {
			t.Errorf("%s is %v", j.ID, s)
		}
	}
	sim.current().halted = true
	sim.run(time.Second)
	sim.takeOver()
	sim.run(12 * time.Second)
	sim.check()
	if s := sim.current().core.Status("bad"); s != job.StatusFailed {
		t.Errorf("under the next owner it is %v", s)
	}
}

// TestRefusedOutcomeHoldsNoEndsBack guards against ends that are never acknowledged, as the store refuses
// whatever it is given of one job.
func TestRefusedOutcomeHoldsNoEndsBack(t *testing.T) {
	sim := newSimulation(t, 112, 4)
	sim.refuses, sim.refusesOutcome = "bad", true
	sim.takeOver()
	sim.run(100 * time.Millisecond)
	sim.submit(oneStepJob("bad", 8))
	sim.submit(oneStepJob("good", 8))
	sim.run(20 * time.Second)
	sim.check()
	if s := sim.current().core.Status("bad"); s != job.StatusFailed {
		t.Errorf("the job is %v", s)
	}
	if !sim.ended("good") {
		t.Error("the other job has not ended")
	}
	ends := int64(0)
	for _, w := range sim.current().core.fleet {
		ends += w.processedEnd
		if w.ackedEnd < w.processedEnd {
			t.Errorf("%s: %d ends read, %d acknowledged", w.ID, w.processedEnd, w.ackedEnd)
		}
	}
	if ends < 8 {
		t.Errorf("%d ends were read", ends)
	}
}

// TestInvariantsHoldWhileProgressIsRefused runs random scenarios in which the store refuses the
// progress of one job.
func TestInvariantsHoldWhileProgressIsRefused(t *testing.T) {
	for seed := range uint64(randomScenarios) {
		o := scenario{cuts: seed%2 == 0, recurring: seed%3 == 0, refuses: "j001", prepare: func(s *simulation) { s.refuses = "j001" }}
		if err := runRandomScenario(t, seed, o); err != "" {
			t.Error(err)
		}
	}
}
