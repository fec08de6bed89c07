package cell

import (
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/job"
)

// raised counts the alarms of a code in the world's log.
func (w *world) raised(code AlarmCode) int {
	n := 0
	for _, l := range w.log {
		if strings.Contains(l, "{Code:"+string(code)+" ") {
			n++
		}
	}
	return n
}

func urgent(id string) job.Job {
	j := single(id, 1)
	j.Queue.Priority, j.Steps[0].GPU, j.Steps[0].CPU = 0, 4, 20_000 // one on a worker, two in the guarantee
	return j
}

func TestAlarmsAreRaisedOnceForWhatTheyAreAbout(t *testing.T) {
	cases := map[string]struct {
		play func(w *world)
		want AlarmCode
	}{
		"urgent work inside its guarantee has no room in time": {
			func(w *world) {
				w.submit(urgent("first"))
				w.run(500 * time.Millisecond)
				w.machine(0).Pace = 0.05
				w.submit(urgent("second"))
			}, AlarmReclaimLate,
		},
		"the workers are too few for the guarantees": {
			func(w *world) {
				w.submit(single("work", 4))
				w.run(100 * time.Millisecond)
				w.cut[w.machine(0).ID] = true
			}, AlarmGuaranteeUnmet,
		},
		"no worker could hold a task": {
			func(w *world) {
				j := single("huge", 1)
				j.Steps[0].GPU = 16
				w.submit(j)
			}, AlarmNoWorkerFits,
		},
		"a job is too late to be of use": {
			func(w *world) {
				w.submit(urgent("first"))
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
				if n := w.raised(code); n > 0 {
					t.Fatalf("%s was raised before", code)
				}
			}
			c.play(w)
			w.run(9 * time.Second)
			if n := w.raised(c.want); n != 1 {
				t.Errorf("%s raised %d times:\n%s", c.want, n, strings.Join(w.log, "\n"))
			}
		})
	}
}

func TestAGuaranteeThatIsMetAgainIsRaisedAnew(t *testing.T) {
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
	if n := w.raised(AlarmGuaranteeUnmet); n != 2 {
		t.Errorf("raised %d times", n)
	}
}

// TestWorkersThatComeInByAndByRaiseNoAlarm: each start of a deployment raised one,
// as its list of workers filled.
func TestWorkersThatComeInByAndByRaiseNoAlarm(t *testing.T) {
	w := newWorld(t, 1, 6)
	w.policy = &job.Policy{Accounts: []job.Account{{Name: "a", GuaranteedGPU: 40}}}
	w.unlisted = 1
	w.takeOver()
	w.run(10 * time.Second)
	if n := w.raised(AlarmGuaranteeUnmet); n != 0 {
		t.Errorf("raised %d times", n)
	}
}

func TestEveryDoubtIsSettled(t *testing.T) {
	w := newWorld(t, 5, 6)
	w.lost, w.late = 0.3, 0.2
	w.takeOver()
	for n := range 20 {
		w.submit(single(string(rune('a'+n)), 3))
	}
	w.run(20 * time.Second)
	w.lost, w.late = 0, 0
	w.settle(2 * time.Minute)
	doubts, settled := 0, 0
	for _, l := range w.log {
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
