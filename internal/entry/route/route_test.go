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

var begin = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func newRouter(hosts int) *route.Router {
	r := route.New(route.Options{
		Self: "h0", DataCentre: "dc0", Region: "r0",
		Backoff: route.DefaultBackoff(), Rand: rand.New(rand.NewPCG(7, 7)),
	})
	cell := model.Cell{ID: "c", DataCentre: "dc0", Workers: []model.Worker{{ID: "w"}}}
	fleet := config.Fleet{KeyGroups: 4, CellsPerGroup: 1, Witnesses: 1, Cells: []model.Cell{cell}}
	r.Step(begin, route.Configured{Mapping: mapping.New(fleet), RetryShare: 0.1})
	r.Step(begin, route.HostsSeen{Hosts: hostList(hosts)})
	return r
}

// hostList lists schedulers from the furthest to the nearest of h0.
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

func TestNearestSchedulersAreAskedFirst(t *testing.T) {
	r := newRouter(6)
	act := r.Step(begin, route.Begin{Ticket: 1, Key: "k", Until: begin.Add(time.Hour)})
	var asked []string
	for {
		a, ok := act.(route.Ask)
		if !ok {
			break
		}
		asked = append(asked, a.Addr)
		act = r.Step(begin, route.NotTaken{Ticket: 1})
	}
	if len(asked) != 6 || asked[0] != addr(0) || asked[1] != addr(1) {
		t.Fatalf("asked %v, want own host, then own data centre", asked)
	}
	if !within(asked[2:4], addr(2), addr(3)) || !within(asked[4:], addr(4), addr(5)) {
		t.Fatalf("asked %v, want own region before others", asked)
	}
	if _, ok := act.(route.Sleep); !ok {
		t.Fatalf("after all were asked: %T", act)
	}
}

func within(got []string, want ...string) bool {
	return len(got) == 2 && (got[0] == want[0] && got[1] == want[1] || got[0] == want[1] && got[1] == want[0])
}

func TestLeavingSchedulersAreAskedLast(t *testing.T) {
	r := newRouter(0)
	hosts := hostList(3)
	hosts[2].State = model.HostLeaving // h0, the own host
	r.Step(begin, route.HostsSeen{Hosts: hosts})
	act := r.Step(begin, route.Begin{Ticket: 1, Key: "k", Until: begin.Add(time.Hour)})
	if a := act.(route.Ask); a.Addr != addr(1) {
		t.Fatalf("asked %s first", a.Addr)
	}
}

func TestLongHostListIsCoveredOverRounds(t *testing.T) {
	const hosts = 40
	r := newRouter(hosts)
	now, asked := begin, make(map[string]bool)
	act := r.Step(now, route.Begin{Ticket: 1, Key: "k", Until: begin.Add(time.Hour)})
	for range 200 {
		switch a := act.(type) {
		case route.Ask:
			asked[a.Addr] = true
			act = r.Step(now, route.NotTaken{Ticket: 1})
		case route.Sleep:
			now = now.Add(a.For)
			act = r.Step(now, route.Woke{Ticket: 1})
		}
	}
	if len(asked) != hosts {
		t.Fatalf("%d of %d schedulers asked", len(asked), hosts)
	}
}

func TestCallWithoutAConfigurationIsNotRun(t *testing.T) {
	r := route.New(route.Options{Backoff: route.DefaultBackoff(), Rand: rand.New(rand.NewPCG(1, 1))})
	act := r.Step(begin, route.Begin{Ticket: 1, Key: "k", Until: begin.Add(time.Hour)})
	if g, ok := act.(route.GiveUp); !ok || g.Outcome != model.OutcomeNotRun || g.RetryAfter == 0 {
		t.Fatalf("got %#v", act)
	}
}

func TestRepeatedOverloadIsGivenUpLongBeforeTheDeadline(t *testing.T) {
	r := newRouter(1)
	now := begin
	act := r.Step(now, route.Begin{Ticket: 1, Key: "k", Until: begin.Add(time.Hour)})
	for {
		switch a := act.(type) {
		case route.Ask:
			act = r.Step(now, route.NotTaken{Ticket: 1, Overloaded: true})
		case route.Sleep:
			now = now.Add(a.For)
			act = r.Step(now, route.Woke{Ticket: 1})
		case route.GiveUp:
			if a.Outcome != model.OutcomeNotRun || a.Reason != model.ReasonQueueFull || now.Sub(begin) > 5*time.Second {
				t.Fatalf("got %+v after %v", a, now.Sub(begin))
			}
			return
		}
	}
}

func TestSpentRetryBudgetMakesWaitsLong(t *testing.T) {
	r := newRouter(1)
	longest := route.DefaultBackoff().Max
	var short, long int
	for i := range 300 {
		tick := route.Ticket(i)
		r.Step(begin, route.Begin{Ticket: tick, Key: "k", Until: begin.Add(time.Hour)})
		s := r.Step(begin, route.NotTaken{Ticket: tick}).(route.Sleep)
		if s.For >= longest/2 {
			long++
		} else {
			short++
		}
	}
	if short > 100+300/10+1 || long == 0 {
		t.Fatalf("%d early rounds, %d late ones", short, long)
	}
}

// run drives one call with drawn events until it ends or its time runs out.
func run(t *rapid.T, r *route.Router, now time.Time, tick route.Ticket) {
	until := now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
	key := model.Key(rapid.StringN(1, 8, 8).Draw(t, "key"))
	act := r.Step(now, route.Begin{Ticket: tick, Key: key, Until: until})
	doubt, round := false, make(map[string]bool)
	for {
		var ev route.Event
		switch a := act.(type) {
		case route.Ask:
			if round[a.Addr] {
				t.Fatalf("%s asked twice in a round", a.Addr)
			}
			if round[a.Addr] = true; len(round) > 9 {
				t.Fatalf("%d asks in a round", len(round))
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "took")) * time.Millisecond)
			ev = outcome(t, tick)
			if _, ok := ev.(route.Doubtful); ok {
				doubt = true
			}
		case route.Sleep:
			if a.For < 0 || now.Add(a.For).After(until) && a.For > 0 {
				t.Fatalf("sleeps %v with %v left", a.For, until.Sub(now))
			}
			now = now.Add(a.For)
			clear(round)
			ev = route.Woke{Ticket: tick}
		case route.GiveUp:
			if (a.Outcome == model.OutcomeUnknown) != doubt {
				t.Fatalf("told %s; doubt: %v", a.Outcome, doubt)
			}
			return
		case route.Nothing:
			return
		}
		act = r.Step(now, ev)
		_, settled := ev.(route.Settled)
		if _, gave := act.(route.GiveUp); !settled && !gave && !now.Before(until) {
			act = r.Step(now, route.Expired{Ticket: tick})
		}
	}
}

func outcome(t *rapid.T, tick route.Ticket) route.Event {
	switch rapid.IntRange(0, 9).Draw(t, "outcome") {
	case 0:
		return route.Settled{Ticket: tick}
	case 1, 2:
		return route.Doubtful{Ticket: tick}
	case 3:
		return route.NotTaken{Ticket: tick, Overloaded: true}
	case 4, 5:
		return route.NotTaken{Ticket: tick}
	case 6, 7:
		return route.Moved{Ticket: tick, Owner: model.Member{Addr: addr(rapid.IntRange(0, 12).Draw(t, "owner"))}}
	}
	return route.Moved{Ticket: tick}
}

func TestEachCallEndsAndIsNotRunOnlyWithoutDoubt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRouter(rapid.IntRange(0, 12).Draw(t, "hosts"))
		for i := range rapid.IntRange(1, 6).Draw(t, "calls") {
			run(t, r, begin, route.Ticket(i))
		}
		if r.Open() != 0 {
			t.Fatalf("%d calls held after their end", r.Open())
		}
	})
}

func TestWorkIsOfferedUnderTheHighestEpochHeardOf(t *testing.T) {
	r := newRouter(2)
	until := begin.Add(time.Hour)
	if a := r.Step(begin, route.Begin{Ticket: 1, Key: "k", Until: until}).(route.Ask); a.Epoch != 0 {
		t.Fatalf("first offer: %+v", a)
	}
	again, ok := r.Step(begin, route.Moved{Ticket: 1, Epoch: 17}).(route.Ask)
	if !ok || again.Addr != addr(0) || again.Epoch != 17 {
		t.Fatalf("owner under another epoch: %+v", again)
	}
	if a := r.Step(begin, route.Moved{Ticket: 1, Epoch: 17}).(route.Ask); a.Addr != addr(1) || a.Epoch != 17 {
		t.Fatalf("owner that does not take its own epoch: %+v", a)
	}
	r.Step(begin, route.Settled{Ticket: 1, Epoch: 33})
	if a := r.Step(begin, route.Begin{Ticket: 2, Key: "k", Until: until}).(route.Ask); a.Addr != addr(1) || a.Epoch != 33 {
		t.Fatalf("next call: %+v", a)
	}
	r.Step(begin, route.Doubtful{Ticket: 2})
	r.Step(begin, route.Settled{Ticket: 2, Epoch: 20}) // an old owner's word
	if a := r.Step(begin, route.Begin{Ticket: 3, Key: "k", Until: until}).(route.Ask); a.Epoch != 33 {
		t.Fatalf("the epoch fell: %+v", a)
	}
}

func TestLearnedOwnerIsAskedFirstAndForgottenWhenItFails(t *testing.T) {
	r := newRouter(4)
	until := begin.Add(time.Hour)
	r.Step(begin, route.Begin{Ticket: 1, Key: "k", Until: until})
	r.Step(begin, route.Moved{Ticket: 1, Owner: model.Member{Addr: addr(3)}})
	r.Step(begin, route.Settled{Ticket: 1})
	if a := r.Step(begin, route.Begin{Ticket: 2, Key: "k", Until: until}).(route.Ask); a.Addr != addr(3) {
		t.Fatalf("asked %s", a.Addr)
	}
	if a := r.Step(begin, route.Doubtful{Ticket: 2}).(route.Ask); a.Addr != addr(0) {
		t.Fatalf("after the owner failed: asked %s", a.Addr)
	}
	if a := r.Step(begin, route.Begin{Ticket: 3, Key: "k", Until: until}).(route.Ask); a.Addr != addr(0) {
		t.Fatalf("another call asked %s", a.Addr)
	}
}
