package cell

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/external"
	"coltsfootmux/internal/job"
)

// afterTakeover returns the core of a new owner that has read a list with the given
// number of workers, and the holds that it sends them.
func afterTakeover(workers int) (*Core, []Hold) {
	c := New(testSettings(), 1, &job.Policy{}, Instant{Mono: time.Second})
	ev := Loaded{}
	for n := range workers {
		ev.Workers = append(ev.Workers, external.Worker{ID: external.WorkerID(fmt.Sprintf("w%04d", n)), Pool: "p"})
	}
	return c, holdsIn(c.Step(c.now, ev))
}

// holdsIn returns the holds among the actions.
func holdsIn(actions []Action) []Hold {
	var out []Hold
	for _, a := range actions {
		if h, ok := a.(Hold); ok {
			out = append(out, h)
		}
	}
	return out
}

// TestFirstContactsAreLimited guards against sending a hold to all workers at once
// after a takeover: an owner of 3,000 workers was then too busy with the answers to
// renew its term.
func TestFirstContactsAreLimited(t *testing.T) {
	c, asked := afterTakeover(3000)
	inFlight, calls := asked, 0
	sent := make(map[int64]time.Duration)
	recordSent := func(hs []Hold) []Hold {
		for _, h := range hs {
			sent[h.Number] = c.now.Mono
		}
		return hs
	}
	recordSent(asked)
	for len(inFlight) > 0 {
		h := inFlight[0]
		if age := c.now.Mono - sent[h.Number]; age > 500*time.Millisecond {
			t.Fatalf("a hold has been in flight for %v, with %d in flight", age, len(inFlight))
		}
		calls++
		c.now.Mono += time.Millisecond
		answer := HoldAnswered{Worker: h.Order.Worker, Number: h.Number, Lists: external.HoldResult{Clock: c.now.Mono}}
		inFlight = append(inFlight[1:], recordSent(holdsIn(c.Step(c.now, answer)))...)
	}
	if !c.previousRunsKnown() || calls != 3000 {
		t.Errorf("%d holds sent, want 3000; all workers have answered: %v", calls, c.previousRunsKnown())
	}
}

// TestUnresponsiveWorkersDoNotDelayFirstContacts checks that all other workers are
// asked while the first 200 in order of ID, more than the contact window, never answer.
func TestUnresponsiveWorkersDoNotDelayFirstContacts(t *testing.T) {
	c, asked := afterTakeover(400)
	type call struct {
		hold Hold
		at   time.Duration
	}
	var inFlight []call
	add := func(hs []Hold) {
		for _, h := range hs {
			after := 10 * time.Millisecond
			if h.Order.Worker < "w0200" {
				after = 500 * time.Millisecond
			}
			inFlight = append(inFlight, call{hold: h, at: c.now.Mono + after})
		}
	}
	add(asked)
	answered := make(map[external.WorkerID]bool)
	for end := c.now.Mono + 4*time.Second; c.now.Mono < end; {
		c.now.Mono += 5 * time.Millisecond
		due := inFlight
		inFlight = nil
		for _, o := range due {
			if o.at > c.now.Mono {
				inFlight = append(inFlight, o)
				continue
			}
			ev := HoldAnswered{Worker: o.hold.Order.Worker, Number: o.hold.Number, Lists: external.HoldResult{Clock: c.now.Mono}}
			if ev.Worker < "w0200" {
				ev.Failure = FailureOutcomeUnknown
			} else {
				answered[ev.Worker] = true
			}
			add(holdsIn(c.Step(c.now, ev)))
		}
		add(holdsIn(c.Step(c.now, Tick{})))
	}
	if len(answered) != 200 {
		t.Errorf("%d of the 200 responsive workers have answered within 4 s", len(answered))
	}
}

// TestRosterWorkerThatLeavesListIsAwaited guards against forgetting a worker of the
// previous owner whose entry expires after the takeover and before its first answer:
// a job that the worker had completed was started again.
func TestRosterWorkerThatLeavesListIsAwaited(t *testing.T) {
	c := New(testSettings(), 2, &job.Policy{}, Instant{Mono: time.Second})
	ev := Loaded{Jobs: []job.Job{oneStepJob("j", 1)}}
	for n := range 2 {
		w := testWorker(n)
		ev.Workers = append(ev.Workers, w)
		ev.Roster = append(ev.Roster, RosterEntry{ID: w.ID, Addr: w.Addr})
	}
	var starts int
	carryOut := func(actions []Action) {
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
	carryOut(first)
	carryOut(c.Step(c.now, WorkerUnlisted{ID: "w00"}))
	for _, h := range holdsIn(first) {
		if h.Order.Worker == "w01" {
			carryOut(c.Step(c.now, HoldAnswered{Worker: "w01", Number: h.Number, Lists: external.HoldResult{Clock: c.now.Mono}}))
		}
	}
	for range 20 {
		c.now.Mono += 50 * time.Millisecond
		carryOut(c.Step(c.now, Tick{}))
		carryOut(c.Step(c.now, TermConfirmed{At: c.now.Mono}))
	}
	if starts > 0 {
		t.Error("an inherited job was started before every worker of the roster had answered")
	}
}
