package cell

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// afterTakeover gives an owner that has read a list of workers, and what it asks them.
func afterTakeover(workers int) (*Core, []Hold) {
	c := New(testSettings(), 1, &job.Policy{}, Instant{Mono: time.Second})
	ev := Loaded{}
	for n := range workers {
		ev.Workers = append(ev.Workers, external.Worker{ID: external.WorkerID(fmt.Sprintf("w%04d", n)), Pool: "p"})
	}
	return c, holdsIn(c.Step(c.now, ev))
}

func holdsIn(actions []Action) []Hold {
	var out []Hold
	for _, a := range actions {
		if h, ok := a.(Hold); ok {
			out = append(out, h)
		}
	}
	return out
}

// TestNewOwnerAsksWorkersByAndBy: an owner asked 3,000 workers in one step and
// could not renew its term beside.
func TestNewOwnerAsksWorkersByAndBy(t *testing.T) {
	c, asked := afterTakeover(3000)
	open, calls := asked, 0
	sent := make(map[int64]time.Duration)
	note := func(hs []Hold) []Hold {
		for _, h := range hs {
			sent[h.Number] = c.now.Mono
		}
		return hs
	}
	note(asked)
	for len(open) > 0 {
		h := open[0]
		if age := c.now.Mono - sent[h.Number]; age > 500*time.Millisecond {
			t.Fatalf("a question waits for %v, while %d workers are asked", age, len(open))
		}
		calls++
		c.now.Mono += time.Millisecond
		answer := HoldAnswered{Worker: h.Order.Worker, Number: h.Number, Lists: external.HoldResult{Clock: c.now.Mono}}
		open = append(open[1:], note(holdsIn(c.Step(c.now, answer)))...)
	}
	if !c.previousRunsKnown() || calls != 3000 {
		t.Errorf("%d workers asked, all heard: %v", calls, c.previousRunsKnown())
	}
}

// TestSilentWorkersDoNotKeepOthersFromBeingAsked: the first 200 by name never answer.
func TestSilentWorkersDoNotKeepOthersFromBeingAsked(t *testing.T) {
	c, asked := afterTakeover(400)
	type call struct {
		hold Hold
		at   time.Duration
	}
	var open []call
	add := func(hs []Hold) {
		for _, h := range hs {
			after := 10 * time.Millisecond
			if h.Order.Worker < "w0200" {
				after = 500 * time.Millisecond
			}
			open = append(open, call{hold: h, at: c.now.Mono + after})
		}
	}
	add(asked)
	heard := make(map[external.WorkerID]bool)
	for end := c.now.Mono + 4*time.Second; c.now.Mono < end; {
		c.now.Mono += 5 * time.Millisecond
		due := open
		open = nil
		for _, o := range due {
			if o.at > c.now.Mono {
				open = append(open, o)
				continue
			}
			ev := HoldAnswered{Worker: o.hold.Order.Worker, Number: o.hold.Number, Lists: external.HoldResult{Clock: c.now.Mono}}
			if ev.Worker < "w0200" {
				ev.Failure = FailureOutcomeUnknown
			} else {
				heard[ev.Worker] = true
			}
			add(holdsIn(c.Step(c.now, ev)))
		}
		add(holdsIn(c.Step(c.now, Tick{})))
	}
	if len(heard) != 200 {
		t.Errorf("%d of 200 workers that answer were heard within 4 s", len(heard))
	}
}

// TestWorkerThatLeavesTheListBeforeItAnswersIsWaitedFor: a worker was on the list
// and the roster at the take-over, and its entry lapsed before its first answer;
// a job that it had completed was started again.
func TestWorkerThatLeavesTheListBeforeItAnswersIsWaitedFor(t *testing.T) {
	c := New(testSettings(), 2, &job.Policy{}, Instant{Mono: time.Second})
	ev := Loaded{Jobs: []job.Job{oneStepJob("j", 1)}}
	for n := range 2 {
		w := testWorker(n)
		ev.Workers = append(ev.Workers, w)
		ev.Roster = append(ev.Roster, RosterEntry{ID: w.ID, Addr: w.Addr})
	}
	var starts int
	take := func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Start:
				starts++
			case Persist:
				c.persisted(Persisted{Batch: a.Batch})
			}
		}
	}
	first := c.Step(c.now, ev)
	take(first)
	take(c.Step(c.now, WorkerUnlisted{ID: "w00"}))
	for _, h := range holdsIn(first) {
		if h.Order.Worker == "w01" {
			take(c.Step(c.now, HoldAnswered{Worker: "w01", Number: h.Number, Lists: external.HoldResult{Clock: c.now.Mono}}))
		}
	}
	for range 20 {
		c.now.Mono += 50 * time.Millisecond
		take(c.Step(c.now, Tick{}))
		take(c.Step(c.now, TermConfirmed{At: c.now.Mono}))
	}
	if starts > 0 {
		t.Error("an inherited job was started before every worker of the roster had answered")
	}
}
