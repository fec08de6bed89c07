package cell

import (
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// TestRestartedWorkerMayHoldALongerLease guards against a second run of a task whose worker has restarted. A
// call that was meant for its earlier incarnation names a time on that one's clock, for which the new one grants
// its longest lease, and that is longer than the owner's.
func TestRestartedWorkerMayHoldALongerLease(t *testing.T) {
	const restartAt, longest = 2 * time.Second, 10 * time.Second
	c := fullCell(1, 0)
	c.settings.Lease, c.settings.MaxLease = 6*time.Second, longest
	w := c.fleet[0]
	now := c.now
	answer := func(started int64, clock time.Duration) {
		rows := []external.ActiveRun{}
		for _, r := range w.runs {
			rows = append(rows, external.ActiveRun{Task: r.task, Run: r.number, Percent: 10})
		}
		c.Step(now, HoldAnswered{Worker: w.ID, Number: w.waitingHold, Lists: external.HoldResult{StartedMS: started, Clock: clock, Running: rows}})
	}
	answer(1, time.Hour) // grants a lease with the next hold
	now.Mono = restartAt
	began := w.runs[0]
	for _, r := range w.runs {
		r.startedAt = c.now.Mono
	}
	before := w.runs
	w.runs = nil
	answer(2, 100*time.Millisecond)
	w.runs = before // started by the new incarnation
	for _, r := range w.runs {
		r.createdAt, r.startedAt = now.Mono, now.Mono
	}
	answer(2, 150*time.Millisecond)
	for ended := false; !ended; now.Mono += 50 * time.Millisecond {
		c.termConfirmedAt = now.Mono
		if w.waitingHold != 0 {
			c.Step(now, HoldAnswered{Worker: w.ID, Number: w.waitingHold, Failure: FailureOutcomeUnknown})
		}
		for _, a := range c.Step(now, Tick{}) {
			if e, ok := a.(RunEnded); ok && e.Task == began.task {
				ended = true
			}
		}
		if now.Mono > time.Minute {
			t.Fatal("the runs do not end")
		}
	}
	if now.Mono < restartAt+longest {
		t.Errorf("the runs count as over %v after the restart; their lease may be %v", now.Mono-restartAt, longest)
	}
}

// TestHeirAllowsForTheLeaseOfAWorkerThatHasRestarted guards against the same after the loss of the owner that
// knew of the restart: its successor started the tasks of a silent worker again after the owner's lease.
func TestHeirAllowsForTheLeaseOfAWorkerThatHasRestarted(t *testing.T) {
	const longest = 10 * time.Second
	for name, c := range map[string]struct {
		age, first  time.Duration
		least, most time.Duration
	}{
		"restarted just before": {100 * time.Millisecond, time.Minute, longest - 100*time.Millisecond, 17 * time.Second},
		"restarted long before": {time.Minute, 30 * time.Minute, 6 * time.Second, 10 * time.Second},
		"first start":           {100 * time.Millisecond, 100 * time.Millisecond, 6 * time.Second, 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Lease, settings.MaxLease = 6*time.Second, longest
			core := New(settings, 2, &job.Policy{}, Instant{Mono: time.Second, UnixMS: time.Hour.Milliseconds()})
			silent, other := testWorker(0), testWorker(1)
			silent.StartedMS = (time.Hour - c.age).Milliseconds()
			ev := Loaded{
				Workers: []external.Worker{silent, other}, Jobs: []job.Job{oneStepJob("inherited", 1)},
				Roster: []RosterEntry{{ID: silent.ID, Addr: silent.Addr, FirstStartedMS: (time.Hour - c.first).Milliseconds()}, {ID: other.ID, Addr: other.Addr}},
			}
			startedAfter := time.Duration(0)
			var answers []Event
			step := func(ev Event) {
				for _, a := range core.Step(core.now, ev) {
					switch a := a.(type) {
					case Start:
						startedAfter = core.now.Mono - core.startedAt
					case Hold:
						answer := HoldAnswered{Worker: a.Order.Worker, Number: a.Number, Lists: external.HoldResult{Clock: core.now.Mono, StartedMS: 1}}
						if a.Order.Worker == silent.ID {
							answer.Failure = FailureOutcomeUnknown
						}
						answers = append(answers, answer)
					case Persist:
						answers = append(answers, Persisted{Batch: a.Batch})
					}
				}
			}
			step(ev)
			for startedAfter == 0 && core.now.Mono < time.Minute {
				core.now.Mono += 50 * time.Millisecond
				core.now.UnixMS += 50
				core.termConfirmedAt = core.now.Mono
				due := answers
				answers = nil
				for _, ev := range due {
					step(ev)
				}
				step(Tick{})
			}
			if startedAfter < c.least || startedAfter > c.most {
				t.Errorf("started %v after the takeover, want %v to %v", startedAfter, c.least, c.most)
			}
		})
	}
}
