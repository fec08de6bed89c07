package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/entry/route"
	"coltsfootmux/internal/mapping"
	"coltsfootmux/internal/model"
	_ "coltsfootmux/internal/testseed"
)

var startTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newRouter(hosts int) *route.Router {
	r := route.New(route.Options{
		Self: "h0", DataCentre: "dc0", Region: "r0",
		Backoff: route.DefaultBackoff(), Rand: rand.New(rand.NewPCG(7, 7)),
	})
	cell := model.Cell{ID: "c", DataCentre: "dc0", Workers: []model.Worker{{ID: "w"}}}
	fleet := config.Fleet{KeyGroups: 4, CellsPerGroup: 1, Witnesses: 1, Cells: []model.Cell{cell}}
	r.Step(startTime, route.Configured{Mapping: mapping.New(fleet), RetryShare: 0.1})
	r.Step(startTime, route.HostsRead{Hosts: hostList(hosts)})
	return r
}

// hostList returns n schedulers, from the farthest to the nearest to h0.
func hostList(n int) []model.Host {
	var out []model.Host
	for i := n - 1; i >= 0; i-- {
		out = append(out, model.Host{
			ID: model.HostID(fmt.Sprintf("h%d", i)), Role: model.RoleScheduler, Addr: addr(i),
			DataCentre: model.DataCentre(fmt.Sprintf("dc%d", i/2)), Region: model.Region(fmt.Sprintf("r%d", i/4)),
			State: model.HostLive,
		})
	}
	return out
}

func addr(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func TestNearestSchedulersAreTriedFirst(t *testing.T) {
	r := newRouter(6)
	act := r.Step(startTime, route.Begin{ID: 1, Key: "k", Deadline: startTime.Add(time.Hour)})
	var tried []string
	for {
		a, ok := act.(route.Send)
		if !ok {
			break
		}
		tried = append(tried, a.Addr)
		act = r.Step(startTime, route.NotExecuted{ID: 1})
	}
	if len(tried) != 6 || tried[0] != addr(0) || tried[1] != addr(1) {
		t.Fatalf("sent to %v, want own host, then own data centre", tried)
	}
	if !sameAddrs(tried[2:4], addr(2), addr(3)) || !sameAddrs(tried[4:], addr(4), addr(5)) {
		t.Fatalf("sent to %v, want own region before others", tried)
	}
	if _, ok := act.(route.Sleep); !ok {
		t.Fatalf("after all were tried: %T", act)
	}
}

func sameAddrs(got []string, want ...string) bool {
	return len(got) == 2 && (got[0] == want[0] && got[1] == want[1] || got[0] == want[1] && got[1] == want[0])
}

func TestLeavingSchedulersAreTriedLast(t *testing.T) {
	r := newRouter(0)
	hosts := hostList(3)
	hosts[2].State = model.HostLeaving // h0, the own host
	r.Step(startTime, route.HostsRead{Hosts: hosts})
	act := r.Step(startTime, route.Begin{ID: 1, Key: "k", Deadline: startTime.Add(time.Hour)})
	if a := act.(route.Send); a.Addr != addr(1) {
		t.Fatalf("sent to %s first", a.Addr)
	}
}

func TestAllSchedulersOfALongHostListAreTried(t *testing.T) {
	const hosts = 40
	r := newRouter(hosts)
	now, tried := startTime, make(map[string]bool)
	act := r.Step(now, route.Begin{ID: 1, Key: "k", Deadline: startTime.Add(time.Hour)})
	for range 200 {
		switch a := act.(type) {
		case route.Send:
			tried[a.Addr] = true
			act = r.Step(now, route.NotExecuted{ID: 1})
		case route.Sleep:
			now = now.Add(a.Duration)
			act = r.Step(now, route.SleepEnded{ID: 1})
		}
	}
	if len(tried) != hosts {
		t.Fatalf("sent to %d of %d schedulers", len(tried), hosts)
	}
}

func TestCallWithoutAConfigurationIsNotRun(t *testing.T) {
	r := route.New(route.Options{Backoff: route.DefaultBackoff(), Rand: rand.New(rand.NewPCG(1, 1))})
	act := r.Step(startTime, route.Begin{ID: 1, Key: "k", Deadline: startTime.Add(time.Hour)})
	if g, ok := act.(route.GiveUp); !ok || g.Outcome != model.OutcomeNotRun || g.RetryAfter == 0 {
		t.Fatalf("got %#v", act)
	}
}

func TestRepeatedOverloadEndsACallLongBeforeItsDeadline(t *testing.T) {
	r := newRouter(1)
	now := startTime
	act := r.Step(now, route.Begin{ID: 1, Key: "k", Deadline: startTime.Add(time.Hour)})
	for {
		switch a := act.(type) {
		case route.Send:
			act = r.Step(now, route.NotExecuted{ID: 1, Overloaded: true})
		case route.Sleep:
			now = now.Add(a.Duration)
			act = r.Step(now, route.SleepEnded{ID: 1})
		case route.GiveUp:
			if a.Outcome != model.OutcomeNotRun || a.Reason != model.ReasonQueueFull || now.Sub(startTime) > 5*time.Second {
				t.Fatalf("got %+v after %v", a, now.Sub(startTime))
			}
			return
		}
	}
}

func TestUsedUpRetryBudgetMakesWaitsLong(t *testing.T) {
	r := newRouter(1)
	longest := route.DefaultBackoff().Max
	var short, long int
	for i := range 300 {
		id := route.CallID(i)
		r.Step(startTime, route.Begin{ID: id, Key: "k", Deadline: startTime.Add(time.Hour)})
		s := r.Step(startTime, route.NotExecuted{ID: id}).(route.Sleep)
		if s.Duration >= longest/2 {
			long++
		} else {
			short++
		}
	}
	if short > 100+300/10+1 || long == 0 {
		t.Fatalf("%d short waits, %d long ones", short, long)
	}
}

// runCall drives one call with random events until it ends or reaches its deadline.
func runCall(t *rapid.T, r *route.Router, now time.Time, id route.CallID) {
	until := now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
	key := model.Key(rapid.StringN(1, 8, 8).Draw(t, "key"))
	act := r.Step(now, route.Begin{ID: id, Key: key, Deadline: until})
	mayHaveExecuted, triedInRound := false, make(map[string]bool)
	for {
		var ev route.Event
		switch a := act.(type) {
		case route.Send:
			if triedInRound[a.Addr] {
				t.Fatalf("sent to %s twice in a round", a.Addr)
			}
			if triedInRound[a.Addr] = true; len(triedInRound) > 9 {
				t.Fatalf("%d sends in a round", len(triedInRound))
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "took")) * time.Millisecond)
			ev = randomOutcome(t, id)
			if _, ok := ev.(route.OutcomeUnknown); ok {
				mayHaveExecuted = true
			}
		case route.Sleep:
			if a.Duration < 0 || now.Add(a.Duration).After(until) && a.Duration > 0 {
				t.Fatalf("sleeps %v with %v left", a.Duration, until.Sub(now))
			}
			now = now.Add(a.Duration)
			clear(triedInRound)
			ev = route.SleepEnded{ID: id}
		case route.GiveUp:
			if (a.Outcome == model.OutcomeUnknown) != mayHaveExecuted {
				t.Fatalf("outcome %s; may have executed: %v", a.Outcome, mayHaveExecuted)
			}
			return
		case route.Nothing:
			return
		}
		act = r.Step(now, ev)
		_, answered := ev.(route.Answered)
		if _, gaveUp := act.(route.GiveUp); !answered && !gaveUp && !now.Before(until) {
			act = r.Step(now, route.Expired{ID: id})
		}
	}
}

func randomOutcome(t *rapid.T, id route.CallID) route.Event {
	switch rapid.IntRange(0, 9).Draw(t, "outcome") {
	case 0:
		return route.Answered{ID: id}
	case 1, 2:
		return route.OutcomeUnknown{ID: id}
	case 3:
		return route.NotExecuted{ID: id, Overloaded: true}
	case 4, 5:
		return route.NotExecuted{ID: id}
	case 6, 7:
		return route.Moved{ID: id, Owner: model.Member{Addr: addr(rapid.IntRange(0, 12).Draw(t, "owner"))}}
	}
	return route.Moved{ID: id}
}

func TestEachCallEndsAndIsNotRunOnlyIfItHadNoEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRouter(rapid.IntRange(0, 12).Draw(t, "hosts"))
		for i := range rapid.IntRange(1, 6).Draw(t, "calls") {
			runCall(t, r, startTime, route.CallID(i))
		}
		if r.OpenCalls() != 0 {
			t.Fatalf("%d calls open after their end", r.OpenCalls())
		}
	})
}

func TestCallsCarryTheHighestKnownEpoch(t *testing.T) {
	r := newRouter(2)
	until := startTime.Add(time.Hour)
	if a := r.Step(startTime, route.Begin{ID: 1, Key: "k", Deadline: until}).(route.Send); a.Epoch != 0 {
		t.Fatalf("first call: %+v", a)
	}
	again, ok := r.Step(startTime, route.Moved{ID: 1, Epoch: 17}).(route.Send)
	if !ok || again.Addr != addr(0) || again.Epoch != 17 {
		t.Fatalf("after the owner reported another epoch: %+v", again)
	}
	if a := r.Step(startTime, route.Moved{ID: 1, Epoch: 17}).(route.Send); a.Addr != addr(1) || a.Epoch != 17 {
		t.Fatalf("after the owner rejected its own epoch: %+v", a)
	}
	r.Step(startTime, route.Answered{ID: 1, Epoch: 33})
	if a := r.Step(startTime, route.Begin{ID: 2, Key: "k", Deadline: until}).(route.Send); a.Addr != addr(1) || a.Epoch != 33 {
		t.Fatalf("next call: %+v", a)
	}
	r.Step(startTime, route.OutcomeUnknown{ID: 2})
	r.Step(startTime, route.Answered{ID: 2, Epoch: 20}) // the answer of an earlier owner
	if a := r.Step(startTime, route.Begin{ID: 3, Key: "k", Deadline: until}).(route.Send); a.Epoch != 33 {
		t.Fatalf("the epoch decreased: %+v", a)
	}
}

func TestKnownOwnerIsTriedFirstAndForgottenWhenItFails(t *testing.T) {
	r := newRouter(4)
	until := startTime.Add(time.Hour)
	r.Step(startTime, route.Begin{ID: 1, Key: "k", Deadline: until})
	r.Step(startTime, route.Moved{ID: 1, Owner: model.Member{Addr: addr(3)}})
	r.Step(startTime, route.Answered{ID: 1})
	if a := r.Step(startTime, route.Begin{ID: 2, Key: "k", Deadline: until}).(route.Send); a.Addr != addr(3) {
		t.Fatalf("sent to %s", a.Addr)
	}
	if a := r.Step(startTime, route.OutcomeUnknown{ID: 2}).(route.Send); a.Addr != addr(0) {
		t.Fatalf("after the owner failed: sent to %s", a.Addr)
	}
	if a := r.Step(startTime, route.Begin{ID: 3, Key: "k", Deadline: until}).(route.Send); a.Addr != addr(0) {
		t.Fatalf("another call sent to %s", a.Addr)
	}
}
