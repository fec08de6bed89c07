package cell

import (
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/job"
)

// alarmCount returns how often an alarm with the code is in the log.
func (s *simulation) alarmCount(code AlarmCode) int {
	n := 0
	for _, l := range s.reports {
		if strings.Contains(l, "{Code:"+string(code)+" ") {
			n++
		}
	}
	return n
}

// urgentJob returns a job of priority 0 of which a worker holds one and the account's
// guarantee covers two.
func urgentJob(id string) job.Job {
	j := oneStepJob(id, 1)
	j.Queue.Priority, j.Steps[0].GPU, j.Steps[0].CPU = 0, 4, 20_000
	return j
}

func TestAlarmIsRaisedOnce(t *testing.T) {
	cases := map[string]struct {
		setUp func(sim *simulation)
		want  AlarmCode
	}{
		"urgent job within its guarantee waits too long": {
			func(sim *simulation) {
				sim.submit(urgentJob("first"))
				sim.run(500 * time.Millisecond)
				sim.machine(0).Pace = 0.05
				sim.submit(urgentJob("second"))
			}, AlarmReclaimLate,
		},
		"workers have fewer accelerators than guaranteed": {
			func(sim *simulation) {
				sim.submit(oneStepJob("work", 4))
				sim.run(100 * time.Millisecond)
				sim.unreachable[sim.machine(0).ID] = true
			}, AlarmGuaranteeUnmet,
		},
		"no worker is large enough for a task": {
			func(sim *simulation) {
				j := oneStepJob("huge", 1)
				j.Steps[0].GPU = 16
				sim.submit(j)
			}, AlarmNoWorkerFits,
		},
		"job is too late to be of use": {
			func(sim *simulation) {
				sim.submit(urgentJob("first"))
				sim.run(500 * time.Millisecond)
				sim.machine(0).Pace = 0.02
				j := oneStepJob("late", 1)
				j.Queue.Stretch, j.Queue.ObjectiveMS, j.Steps[0].CPU = 0.1, 10, 20_000
				sim.submit(j)
			}, AlarmJobLate,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			sim.policy = &job.Policy{Accounts: []job.Account{{Name: "a", GuaranteedGPU: 8}}}
			sim.takeOver()
			sim.run(2 * time.Second)
			for _, code := range []AlarmCode{AlarmReclaimLate, AlarmGuaranteeUnmet, AlarmNoWorkerFits, AlarmJobLate} {
				if n := sim.alarmCount(code); n > 0 {
					t.Fatalf("%s was raised before its cause", code)
				}
			}
			c.setUp(sim)
			sim.run(9 * time.Second)
			if n := sim.alarmCount(c.want); n != 1 {
				t.Errorf("%s raised %d times:\n%s", c.want, n, strings.Join(sim.reports, "\n"))
			}
		})
	}
}

func TestGuaranteeAlarmIsRaisedAgainAfterRecovery(t *testing.T) {
	sim := newSimulation(t, 1, 2)
	sim.takeOver()
	sim.submit(oneStepJob("work", 2))
	for range 2 {
		sim.run(2 * time.Second)
		sim.unreachable[sim.machine(0).ID] = true
		sim.submit(oneStepJob("more"+sim.now.String(), 12))
		sim.run(9 * time.Second)
		clear(sim.unreachable)
		sim.run(2 * time.Second)
	}
	if n := sim.alarmCount(AlarmGuaranteeUnmet); n != 2 {
		t.Errorf("raised %d times", n)
	}
}

// While a deployment starts, its list of workers is incomplete at first. This must
// raise no alarm about the guarantees.
func TestNoGuaranteeAlarmWhileWorkersRegister(t *testing.T) {
	sim := newSimulation(t, 1, 6)
	sim.policy = &job.Policy{Accounts: []job.Account{{Name: "a", GuaranteedGPU: 40}}}
	sim.unlistedRate = 1
	sim.takeOver()
	sim.run(10 * time.Second)
	if n := sim.alarmCount(AlarmGuaranteeUnmet); n != 0 {
		t.Errorf("raised %d times", n)
	}
}

func TestEveryUnansweredStartIsResolved(t *testing.T) {
	sim := newSimulation(t, 5, 6)
	sim.lossRate, sim.lateRate = 0.3, 0.2
	sim.takeOver()
	for n := range 20 {
		sim.submit(oneStepJob(string(rune('a'+n)), 3))
	}
	sim.run(20 * time.Second)
	sim.lossRate, sim.lateRate = 0, 0
	sim.runUntilDone(2 * time.Minute)
	unanswered, resolved := 0, 0
	for _, l := range sim.reports {
		if strings.Contains(l, "start without an answer") {
			unanswered++
		}
		if strings.Contains(l, "Result:") && strings.Contains(l, "Took:") {
			resolved++
		}
	}
	if unanswered == 0 || resolved != unanswered {
		t.Errorf("%d starts without an answer, %d of them resolved", unanswered, resolved)
	}
}
