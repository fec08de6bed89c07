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
	var out []Route
	for _, a := range as {
		if try, ok := a.(Try); ok {
			out = append(out, try.Route)
		}
	}
	if len(out) != 1 {
		t.Fatalf("actions %v, want one try", as)
	}
	return out[0]
}

func wantEnd(t *testing.T, as []Action, r Result) {
	t.Helper()
	if len(as) != 1 || as[0] != (End{Result: r}) {
		t.Fatalf("actions %v, want the end with result %d", as, r)
	}
}

func wantAsk(t *testing.T, as []Action) {
	t.Helper()
	if len(as) != 1 || as[0] != (Ask{}) {
		t.Fatalf("actions %v, want a question to the owner", as)
	}
}

func TestRefusedByStoreAndPeersEndsOnceTheOwnerHasSpoken(t *testing.T) {
	c := New(deadline, Ways{Topics: []int{0}, Own: []int{0}, Peers: 2})
	if r := route(t, c.Start(0)); r.Peer != Own {
		t.Fatalf("first route %+v", r)
	}
	route(t, c.Step(ms(10), Answer{Try: 0, Result: Refused}))
	route(t, c.Step(ms(20), Answer{Try: 1, Result: Refused}))
	wantAsk(t, c.Step(ms(30), Answer{Try: 2, Result: Refused}))
	wantEnd(t, c.Step(ms(35), Told{}), Refused)
}

func TestRefusalWaitsForASilentOwnerOnlyShortly(t *testing.T) {
	c := New(deadline, Ways{Topics: []int{0}, Own: []int{0}})
	c.Start(0)
	wantAsk(t, c.Step(ms(10), Answer{Try: 0, Result: Refused}))
	if as := c.Wake(ms(10) + askWait - 1); as != nil {
		t.Fatalf("actions %v before the wait was over", as)
	}
	wantEnd(t, c.Wake(ms(10)+askWait), Refused)
}

// A caller whose first call ended without an answer calls again, and the store is
// away by then.
func TestRepeatOfAnAcceptedJobIsAcceptedWhileTheStoreIsAway(t *testing.T) {
	c := New(deadline, Ways{Topics: []int{0}, Peers: 1})
	as := c.Start(0)
	route(t, as)
	wantAsk(t, as[1:])
	if as := c.Step(ms(5), Answer{Try: 0, Result: Refused}); as != nil {
		t.Fatalf("actions %v, want to wait for the owner", as)
	}
	wantEnd(t, c.Step(ms(8), Told{Known: true}), Done)
}

func TestLostAnswerIsFoundAtTheOwnerWithoutAnotherAppend(t *testing.T) {
	c := New(deadline, Ways{Topics: []int{0}, Own: []int{0}, Peers: 1})
	c.Start(0)
	wantAsk(t, c.Wake(askAfter))
	wantEnd(t, c.Step(askAfter+ms(5), Told{Known: true}), Done)
}

func TestOwnerIsAskedAgainUntilItHasReadTheRecord(t *testing.T) {
	c := New(deadline, Ways{Topics: []int{0}, Own: []int{0}, Peers: 1})
	c.Start(0)
	wantAsk(t, c.Wake(askAfter))
	if as := c.Step(ms(155), Told{StoreTime: ms(300)}); as != nil {
		t.Fatalf("actions %v", as)
	}
	if as := c.Wake(ms(200)); as != nil {
		t.Fatalf("asked again too soon: %v", as)
	}
	wantAsk(t, c.Wake(ms(155)+askEvery))
	wantEnd(t, c.Step(ms(400), Told{Known: true}), Done)
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
	c.Wake(askAfter)
	c.Step(ms(160), Told{StoreTime: ms(10)})
	if r := route(t, c.Wake(HedgeLeast)); r.Peer != 1 {
		t.Fatalf("second route %+v", r)
	}
	wantEnd(t, c.Step(ms(500), Answer{Try: 0, Result: Done}), Done)
}

func TestSlowStoreIsNotSentTheRecordAgainSoon(t *testing.T) {
	for name, c := range map[string]*Core{
		"this process has seen it":   New(deadline, Ways{Topics: []int{0}, Own: []int{0}, Peers: 1, StoreTime: ms(200)}),
		"the owner says so":          New(deadline, Ways{Topics: []int{0}, Own: []int{0}, Peers: 1}),
		"the append ran out of time": New(deadline, Ways{Topics: []int{0}, Own: []int{0}, Peers: 1, StoreTime: ms(200)}),
	} {
		t.Run(name, func(t *testing.T) {
			c.Start(0)
			wantAsk(t, c.Wake(askAfter))
			c.Step(ms(160), Told{StoreTime: ms(200)})
			if name == "the append ran out of time" {
				wantAsk(t, c.Step(ms(700), Answer{Try: 0, Result: Unclear}))
				c.Step(ms(710), Told{StoreTime: ms(200)})
			}
			for at := ms(200); at < ms(800); at += ms(10) {
				for _, a := range c.Wake(at) {
					if _, ok := a.(Try); ok {
						t.Fatalf("sent again after %v", at)
					}
				}
			}
			if r := route(t, c.Wake(ms(800))); r.Peer != 1 {
				t.Fatalf("second route %+v", r)
			}
		})
	}
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
	wantAsk(t, c.Wake(askAfter))
	c.Step(ms(151), Told{})
	wantEnd(t, c.Step(ms(200), Answer{Try: 0, Result: Refused}), Refused)
	c = New(ms(400), Ways{Topics: []int{0}, Own: []int{0}, Peers: 1})
	c.Start(0)
	wantEnd(t, c.Step(ms(200), Answer{Try: 0, Result: Refused}), Refused)
}

func TestRefusedMeansThatNoTryCanHaveWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := Ways{Topics: []int{2, 0, 1}, Peers: rapid.IntRange(0, 3).Draw(t, "peers")}
		w.Own = w.Topics[:rapid.IntRange(0, 3).Draw(t, "own")]
		w.StoreTime = ms(rapid.SampledFrom([]int{0, 10, 200, 500}).Draw(t, "store"))
		c := New(deadline, w)
		open, asked := []int{}, false
		may, written, known := false, false, false
		var result *Result
		take := func(as []Action) {
			for _, a := range as {
				switch a := a.(type) {
				case Try:
					open = append(open, a.Try)
				case Ask:
					if asked {
						t.Fatal("asked twice at a time")
					}
					asked = true
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
			if asked && rapid.Bool().Draw(t, "tell") {
				asked = false
				known = rapid.IntRange(0, 9).Draw(t, "known") == 0
				take(c.Step(now, Told{Known: known, StoreTime: ms(rapid.SampledFrom([]int{0, 10, 300}).Draw(t, "told"))}))
				continue
			}
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
		if *result == Done && !written && !known {
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
