package cell

import (
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/job"
)

// raised counts the alarms of a code in the world's log.
func (s *simulation) raised(code AlarmCode) int {
	n := 0
	for _, l := range s.reports {
		if strings.Contains(l, "{Code:"+string(code)+" ") {
			n++
		}
	}
	return n
}

func urgent(id string) job.Job {
	j := oneStepJob(id, 1)
	j.Queue.Priority, j.Steps[0].GPU, j.Steps[0].CPU = 0, 4, 20_000 // one on a worker, two in the guarantee
	return j
}

func TestAlarmsAreRaisedOnceForWhatTheyAreAbout(t *testing.T) {
	cases := map[string]struct {
		play func(w *simulation)
		want AlarmCode
	}{
		"urgent work inside its guarantee has no room in time": {
			func(w *simulation) {
				w.submit(urgent("first"))
				w.run(500 * time.Millisecond)
				w.machine(0).Pace = 0.05
				w.submit(urgent("second"))
			}, AlarmReclaimLate,
		},
		"the workers are too few for the guarantees": {
			func(w *simulation) {
				w.submit(oneStepJob("work", 4))
				w.run(100 * time.Millisecond)
				w.unreachable[w.machine(0).ID] = true
			}, AlarmGuaranteeUnmet,
		},
		"no worker could hold a task": {
			func(w *simulation) {
				j := oneStepJob("huge", 1)
				j.Steps[0].GPU = 16
				w.submit(j)
			}, AlarmNoWorkerFits,
		},
		"a job is too late to be of use": {
			func(w *simulation) {
				w.submit(urgent("first"))
				w.run(500 * time.Millisecond)
				w.machine(0).Pace = 0.02
				j := oneStepJob("late", 1)
				j.Queue.Stretch, j.Queue.ObjectiveMS, j.Steps[0].CPU = 0.1, 10, 20_000
				w.submit(j)
			}, AlarmJobLate,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, 1, 1)
			w.policy = &job.Policy{Accounts: []job.Account{{Name: "a", GuaranteedGPU: 8}}}
			w.takeOver()
			w.run(2 * time.Second)
			for _, code := range []AlarmCode{AlarmReclaimLate, AlarmGuaranteeUnmet, AlarmNoWorkerFits, AlarmJobLate} {
				if n := w.raised(code); n > 0 {
					t.Fatalf("%s was raised before", code)
				}
			}
			c.play(w)
			w.run(9 * time.Second)
			if n := w.raised(c.want); n != 1 {
				t.Errorf("%s raised %d times:\n%s", c.want, n, strings.Join(w.reports, "\n"))
			}
		})
	}
}

func TestAGuaranteeThatIsMetAgainIsRaisedAnew(t *testing.T) {
	w := newSimulation(t, 1, 2)
	w.takeOver()
	w.submit(oneStepJob("work", 2))
	for range 2 {
		w.run(2 * time.Second)
		w.unreachable[w.machine(0).ID] = true
		w.submit(oneStepJob("more"+w.now.String(), 12))
		w.run(9 * time.Second)
		clear(w.unreachable)
		w.run(2 * time.Second)
	}
	if n := w.raised(AlarmGuaranteeUnmet); n != 2 {
		t.Errorf("raised %d times", n)
	}
}

// TestWorkersThatComeInByAndByRaiseNoAlarm: each start of a deployment raised one,
// as its list of workers filled.
func TestWorkersThatComeInByAndByRaiseNoAlarm(t *testing.T) {
	w := newSimulation(t, 1, 6)
	w.policy = &job.Policy{Accounts: []job.Account{{Name: "a", GuaranteedGPU: 40}}}
	w.unlistedRate = 1
	w.takeOver()
	w.run(10 * time.Second)
	if n := w.raised(AlarmGuaranteeUnmet); n != 0 {
		t.Errorf("raised %d times", n)
	}
}

func TestEveryDoubtIsSettled(t *testing.T) {
	w := newSimulation(t, 5, 6)
	w.lossRate, w.lateRate = 0.3, 0.2
	w.takeOver()
	for n := range 20 {
		w.submit(oneStepJob(string(rune('a'+n)), 3))
	}
	w.run(20 * time.Second)
	w.lossRate, w.lateRate = 0, 0
	w.runUntilDone(2 * time.Minute)
	doubts, settled := 0, 0
	for _, l := range w.reports {
		if strings.Contains(l, "start without an answer") {
			doubts++
		}
		if strings.Contains(l, "Result:") && strings.Contains(l, "Took:") {
			settled++
		}
	}
	if doubts == 0 || settled != doubts {
		t.Errorf("%d doubts, %d settled", doubts, settled)
	}
}
