package cell

import (
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/job"
)

// alarmCount returns how often an alarm with the code is in the log.
func (w *world) alarmCount(code AlarmCode) int {
	n := 0
	for _, l := range w.log {
		if strings.Contains(l, "{Code:"+string(code)+" ") {
			n++
		}
	}
	return n
}

// urgentJob returns a job of priority 0 of which a worker holds one and the account's
// guarantee covers two.
func urgentJob(id string) job.Job {
	j := single(id, 1)
	j.Queue.Priority, j.Steps[0].GPU, j.Steps[0].CPU = 0, 4, 20_000
	return j
}

func TestAlarmIsRaisedOnce(t *testing.T) {
	cases := map[string]struct {
		setUp func(w *world)
		want  AlarmCode
	}{
		"urgent job within its guarantee waits too long": {
			func(w *world) {
				w.submit(urgentJob("first"))
				w.run(500 * time.Millisecond)
				w.machine(0).Pace = 0.05
				w.submit(urgentJob("second"))
			}, AlarmReclaimLate,
		},
		"workers have fewer accelerators than guaranteed": {
			func(w *world) {
				w.submit(single("work", 4))
				w.run(100 * time.Millisecond)
				w.cut[w.machine(0).ID] = true
			}, AlarmGuaranteeUnmet,
		},
		"no worker is large enough for a task": {
			func(w *world) {
				j := single("huge", 1)
				j.Steps[0].GPU = 16
				w.submit(j)
			}, AlarmNoWorkerFits,
		},
		"job is too late to be of use": {
			func(w *world) {
				w.submit(urgentJob("first"))
				w.run(500 * time.Millisecond)
				w.machine(0).Pace = 0.02
				j := single("late", 1)
				j.Queue.Stretch, j.Queue.ObjectiveMS, j.Steps[0].CPU = 0.1, 10, 20_000
				w.submit(j)
			}, AlarmJobLate,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, 1)
			w.policy = &job.Policy{Accounts: []job.Account{{Name: "a", GuaranteedGPU: 8}}}
			w.takeOver()
			w.run(2 * time.Second)
			for _, code := range []AlarmCode{AlarmReclaimLate, AlarmGuaranteeUnmet, AlarmNoWorkerFits, AlarmJobLate} {
				if n := w.alarmCount(code); n > 0 {
					t.Fatalf("%s was raised before its cause", code)
				}
			}
			c.setUp(w)
			w.run(9 * time.Second)
			if n := w.alarmCount(c.want); n != 1 {
				t.Errorf("%s raised %d times:\n%s", c.want, n, strings.Join(w.log, "\n"))
			}
		})
	}
}

func TestGuaranteeAlarmIsRaisedAgainAfterRecovery(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.takeOver()
	w.submit(single("work", 2))
	for range 2 {
		w.run(2 * time.Second)
		w.cut[w.machine(0).ID] = true
		w.submit(single("more"+w.now.String(), 12))
		w.run(9 * time.Second)
		clear(w.cut)
		w.run(2 * time.Second)
	}
	if n := w.alarmCount(AlarmGuaranteeUnmet); n != 2 {
		t.Errorf("raised %d times", n)
	}
}

// While a deployment starts, its list of workers is incomplete at first. This must
// raise no alarm about the guarantees.
func TestNoGuaranteeAlarmWhileWorkersRegister(t *testing.T) {
	w := newWorld(t, 1, 6)
	w.policy = &job.Policy{Accounts: []job.Account{{Name: "a", GuaranteedGPU: 40}}}
	w.unlisted = 1
	w.takeOver()
	w.run(10 * time.Second)
	if n := w.alarmCount(AlarmGuaranteeUnmet); n != 0 {
		t.Errorf("raised %d times", n)
	}
}

func TestEveryUnansweredStartIsResolved(t *testing.T) {
	w := newWorld(t, 5, 6)
	w.lost, w.late = 0.3, 0.2
	w.takeOver()
	for n := range 20 {
		w.submit(single(string(rune('a'+n)), 3))
	}
	w.run(20 * time.Second)
	w.lost, w.late = 0, 0
	w.settle(2 * time.Minute)
	unanswered, resolved := 0, 0
	for _, l := range w.log {
		if strings.Contains(l, "start without an answer") {
			unanswered++
		}
		if strings.Contains(l, "How:") && strings.Contains(l, "Took:") {
			resolved++
		}
	}
	if unanswered == 0 || resolved != unanswered {
		t.Errorf("%d starts without an answer, %d of them resolved", unanswered, resolved)
	}
}
