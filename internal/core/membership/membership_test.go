package membership

import (
	"testing"
	"time"

	"coltsfootmux/internal/model"
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func listed(state model.HostState, ids ...model.HostID) HostsSeen {
	var e HostsSeen
	for _, id := range ids {
		e.Hosts = append(e.Hosts, model.Host{ID: id, Role: model.RoleWorker, State: state})
	}
	return e
}

func TestStanding(t *testing.T) {
	cases := map[string]struct {
		events []Event
		usable bool
	}{
		"a worker never heard of is usable": {nil, true},
		"a leaving worker by the list is not, whatever it says itself": {
			[]Event{listed(model.HostLeaving, "w"), Answered{Worker: "w"}}, false,
		},
		"a leaving worker by its own word is not, whatever the list says": {
			[]Event{listed(model.HostLive, "w"), Answered{Worker: "w", Leaving: true}, listed(model.HostLive, "w")}, false,
		},
		"a worker that neither calls leaving any more is usable again": {
			[]Event{Answered{Worker: "w", Leaving: true}, listed(model.HostLeaving, "w"), Answered{Worker: "w"}, listed(model.HostLive, "w")}, true,
		},
		"one unanswered call changes nothing":      {[]Event{Silent{"w"}}, true},
		"two unanswered calls make it down":        {[]Event{Silent{"w"}, Silent{"w"}}, false},
		"an answer makes it up again":              {[]Event{Silent{"w"}, Silent{"w"}, Answered{Worker: "w"}}, true},
		"a worker missing from the list is usable": {[]Event{Answered{Worker: "w"}, listed(model.HostLive, "x")}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			core := New(Settings{})
			for _, e := range c.events {
				core.Step(start, e)
			}
			if got := core.Standing("w").Usable(); got != c.usable {
				t.Errorf("usable %v", got)
			}
		})
	}
}

func TestChangesAreToldOnceAndInOrder(t *testing.T) {
	c := New(Settings{})
	got := c.Step(start, listed(model.HostLeaving, "w2", "w1", "w3"))
	if len(got) != 3 || got[0].Worker != "w1" || got[2].Worker != "w3" {
		t.Fatalf("got %+v", got)
	}
	if again := c.Step(start, listed(model.HostLeaving, "w1", "w2", "w3")); len(again) != 0 {
		t.Errorf("told again: %+v", again)
	}
}

func TestWorkersThatAreGoneAreForgotten(t *testing.T) {
	c := New(Settings{Forget: time.Minute})
	c.Step(start, Answered{Worker: "w"})
	c.Step(start.Add(2*time.Minute), listed(model.HostLive, "x"))
	if len(c.workers) != 0 {
		t.Errorf("%d workers kept", len(c.workers))
	}
}
