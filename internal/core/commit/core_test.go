package commit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const deadline = 2500 * time.Millisecond

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// route gives the route of the only try among the actions.
func route(t *testing.T, as []Action) int {
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
	c := New(deadline, true, 2)
	if r := route(t, c.Start(0)); r != Own {
		t.Fatalf("first route %d", r)
	}
	route(t, c.Step(ms(10), Answer{Try: 0, Result: Refused}))
	route(t, c.Step(ms(20), Answer{Try: 1, Result: Refused}))
	wantEnd(t, c.Step(ms(30), Answer{Try: 2, Result: Refused}), Refused)
}

func TestStoreThatTurnsThisProcessAwayIsReachedOverAPeer(t *testing.T) {
	c := New(deadline, false, 2)
	if r := route(t, c.Start(0)); r != 1 {
		t.Fatalf("first route %d", r)
	}
	wantEnd(t, c.Step(ms(60), Answer{Try: 0, Result: Done}), Done)
}

func TestUnansweredTryIsRepeatedWhileItIsOpen(t *testing.T) {
	c := New(deadline, true, 1)
	c.Start(0)
	if as := c.Wake(ms(100)); as != nil {
		t.Fatalf("woke early: %v", as)
	}
	if r := route(t, c.Wake(HedgeAfter)); r != 1 {
		t.Fatalf("second route %d", r)
	}
	wantEnd(t, c.Step(ms(500), Answer{Try: 0, Result: Done}), Done)
}

func TestRefusalsAfterADoubtAreNotTheLastWord(t *testing.T) {
	c := New(deadline, true, 0)
	c.Start(0)
	route(t, c.Step(ms(10), Answer{Try: 0, Result: Unclear}))
	if as := c.Step(ms(20), Answer{Try: 1, Result: Refused}); as != nil {
		t.Fatalf("actions %v, want a pause", as)
	}
	route(t, c.Wake(ms(20)+pause))
	wantEnd(t, c.Wake(deadline), Unclear)
}

func TestNoTryIsCutOffByTheDeadline(t *testing.T) {
	c := New(ms(400), true, 0)
	c.Start(0)
	wantEnd(t, c.Step(ms(200), Answer{Try: 0, Result: Refused}), Refused)
	c = New(ms(400), true, 1)
	c.Start(0)
	wantEnd(t, c.Step(ms(200), Answer{Try: 0, Result: Refused}), Refused)
}

func TestRefusedMeansThatNoTryCanHaveWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(deadline, rapid.Bool().Draw(t, "store"), rapid.IntRange(0, 3).Draw(t, "peers"))
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
