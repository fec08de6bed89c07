package commit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const deadline = 2500 * time.Millisecond

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// route gives the route of the only try among the actions.
func route(t *testing.T, as []Action) Route {
	t.Helper()
	if len(as) != 1 {
		t.Fatalf("actions %v, want one try", as)
	}
	try, ok := as[0].(Try)
	if !ok {
		t.Fatalf("action %v, want a try", as[0])
	}
	return try.Route
}

func wantEnd(t *testing.T, as []Action, r Result) {
	t.Helper()
	if len(as) != 1 || as[0] != (End{Result: r}) {
		t.Fatalf("actions %v, want the end with result %d", as, r)
	}
}

func TestRefusedByStoreAndPeersEndsAtOnce(t *testing.T) {
	c := New(deadline, Ways{Topics: []int{0}, Own: []int{0}, Peers: 2})
	if r := route(t, c.Start(0)); r.Peer != Own {
		t.Fatalf("first route %+v", r)
	}
	route(t, c.Step(ms(10), Answer{Try: 0, Result: Refused}))
	route(t, c.Step(ms(20), Answer{Try: 1, Result: Refused}))
	wantEnd(t, c.Step(ms(30), Answer{Try: 2, Result: Refused}), Refused)
}

func TestStoreThatTurnsThisProcessAwayIsReachedOverAPeer(t *testing.T) {
	c := New(deadline, Ways{Topics: []int{0}, Peers: 2})
	if r := route(t, c.Start(0)); r.Peer != 1 {
		t.Fatalf("first route %+v", r)
	}
	wantEnd(t, c.Step(ms(60), Answer{Try: 0, Result: Done}), Done)
}

func TestUnansweredTryIsRepeatedWhileItIsOpen(t *testing.T) {
	c := New(deadline, Ways{Topics: []int{0}, Own: []int{0}, Peers: 1})
	c.Start(0)
	if as := c.Wake(ms(100)); as != nil {
		t.Fatalf("woke early: %v", as)
	}
	if r := route(t, c.Wake(HedgeAfter)); r.Peer != 1 {
		t.Fatalf("second route %+v", r)
	}
	wantEnd(t, c.Step(ms(500), Answer{Try: 0, Result: Done}), Done)
}

func TestRefusalsAfterADoubtAreNotTheLastWord(t *testing.T) {
	c := New(deadline, Ways{Topics: []int{0}, Own: []int{0}, Peers: 0})
	c.Start(0)
	route(t, c.Step(ms(10), Answer{Try: 0, Result: Unclear}))
	if as := c.Step(ms(20), Answer{Try: 1, Result: Refused}); as != nil {
		t.Fatalf("actions %v, want a pause", as)
	}
	route(t, c.Wake(ms(20)+pause))
	wantEnd(t, c.Wake(deadline), Unclear)
}

func TestNoTryIsCutOffByTheDeadline(t *testing.T) {
	c := New(ms(400), Ways{Topics: []int{0}, Own: []int{0}, Peers: 0})
	c.Start(0)
	wantEnd(t, c.Step(ms(200), Answer{Try: 0, Result: Refused}), Refused)
	c = New(ms(400), Ways{Topics: []int{0}, Own: []int{0}, Peers: 1})
	c.Start(0)
	wantEnd(t, c.Step(ms(200), Answer{Try: 0, Result: Refused}), Refused)
}

func TestRefusedMeansThatNoTryCanHaveWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Ways{Topics: []int{2, 0, 1}, Peers: rapid.IntRange(0, 3).Draw(t, "peers")}
		w.Own = w.Topics[:rapid.IntRange(0, 3).Draw(t, "own")]
		c := New(deadline, w)
		open := []int{}
		may, written := false, false
		var result *Result
		take := func(as []Action) {
			for _, a := range as {
				switch a := a.(type) {
				case Try:
					open = append(open, a.Try)
				case End:
					if result != nil {
						t.Fatal("ended twice")
					}
					result = &a.Result
				}
			}
		}
		now := time.Duration(0)
		take(c.Start(now))
		for result == nil {
			if len(open) > 0 && rapid.Bool().Draw(t, "answer") {
				n := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				r := Result(rapid.IntRange(0, 2).Draw(t, "result"))
				try := open[n]
				open = append(open[:n], open[n+1:]...)
				may = may || r == Unclear
				written = written || r == Done
				take(c.Step(now, Answer{Try: try, Result: r}))
				continue
			}
			now = max(now+time.Millisecond, min(c.Next(), now+time.Duration(rapid.IntRange(1, 400).Draw(t, "ms"))*time.Millisecond))
			take(c.Wake(now))
			if now > deadline+time.Second {
				t.Fatal("no end after the deadline")
			}
		}
		if *result == Refused && (may || written || len(open) > 0) {
			t.Fatalf("refused, although a try may have written (open %v)", open)
		}
		if *result == Done && !written {
			t.Fatal("done without a write")
		}
	})
}

func TestRoutesDifferFromOneToTheNext(t *testing.T) {
	for name, c := range map[string]struct {
		ways Ways
		want []Route
	}{
		"all topics served": {
			Ways{Topics: []int{2, 0, 1}, Own: []int{2, 0, 1}, Peers: 2},
			[]Route{{Own, 2}, {1, 0}, {Own, 0}, {2, 1}, {Own, 1}},
		},
		"a topic is lost": {
			Ways{Topics: []int{2, 0, 1}, Own: []int{0, 1}, Peers: 1},
			[]Route{{Own, 0}, {1, 1}, {Own, 1}},
		},
		"the store is lost to this process": {
			Ways{Topics: []int{2, 0, 1}, Peers: 3},
			[]Route{{1, 2}, {2, 0}, {3, 1}},
		},
		"lost and alone": {
			Ways{Topics: []int{1, 0}},
			[]Route{{Own, 1}, {Own, 0}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.ways.routes(); !slices.Equal(got, c.want) {
				t.Errorf("routes %v, want %v", got, c.want)
			}
		})
	}
}
