package commit

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const deadline = 2500 * time.Millisecond

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// route returns the route of the only attempt among the actions.
func route(t *testing.T, as []Action) Route {
	t.Helper()
	var out []Route
	for _, a := range as {
		if start, ok := a.(StartAttempt); ok {
			out = append(out, start.Route)
		}
	}
	if len(out) != 1 {
		t.Fatalf("actions %v, want one attempt", as)
	}
	return out[0]
}

func wantFinish(t *testing.T, as []Action, r Result) {
	t.Helper()
	if len(as) != 1 || as[0] != (Finish{Result: r}) {
		t.Fatalf("actions %v, want only a finish with result %d", as, r)
	}
}

func wantAskOwner(t *testing.T, as []Action) {
	t.Helper()
	if len(as) != 1 || as[0] != (AskOwner{}) {
		t.Fatalf("actions %v, want only a call to the owner", as)
	}
}

func TestRefusalByStoreAndPeersEndsOnceTheOwnerHasAnswered(t *testing.T) {
	c := New(deadline, Options{Topics: []int{0}, DirectTopics: []int{0}, Peers: 2})
	if r := route(t, c.Start(0)); r.Peer != Direct {
		t.Fatalf("first route %+v", r)
	}
	route(t, c.Step(ms(10), AttemptAnswer{Attempt: 0, Result: NotWritten}))
	route(t, c.Step(ms(20), AttemptAnswer{Attempt: 1, Result: NotWritten}))
	wantAskOwner(t, c.Step(ms(30), AttemptAnswer{Attempt: 2, Result: NotWritten}))
	wantFinish(t, c.Step(ms(35), OwnerAnswer{}), NotWritten)
}

func TestRefusalWaitsOnlyBrieflyForAnUnresponsiveOwner(t *testing.T) {
	c := New(deadline, Options{Topics: []int{0}, DirectTopics: []int{0}})
	c.Start(0)
	wantAskOwner(t, c.Step(ms(10), AttemptAnswer{Attempt: 0, Result: NotWritten}))
	if as := c.Wake(ms(10) + ownerAnswerWait - 1); as != nil {
		t.Fatalf("actions %v before the wait was over", as)
	}
	wantFinish(t, c.Wake(ms(10)+ownerAnswerWait), NotWritten)
}

// A caller whose first call went unanswered repeats it when the store is unreachable.
func TestRepeatOfAnAcceptedJobIsAcceptedWhileTheStoreIsUnreachable(t *testing.T) {
	c := New(deadline, Options{Topics: []int{0}, Peers: 1})
	as := c.Start(0)
	route(t, as)
	wantAskOwner(t, as[1:])
	if as := c.Step(ms(5), AttemptAnswer{Attempt: 0, Result: NotWritten}); as != nil {
		t.Fatalf("actions %v, want to wait for the owner", as)
	}
	wantFinish(t, c.Step(ms(8), OwnerAnswer{IsRead: true}), Done)
}

func TestLostAnswerIsFoundAtTheOwnerWithoutAnotherAppend(t *testing.T) {
	c := New(deadline, Options{Topics: []int{0}, DirectTopics: []int{0}, Peers: 1})
	c.Start(0)
	wantAskOwner(t, c.Wake(askOwnerAfter))
	wantFinish(t, c.Step(askOwnerAfter+ms(5), OwnerAnswer{IsRead: true}), Done)
}

func TestOwnerIsAskedAgainUntilItHasReadTheRecord(t *testing.T) {
	c := New(deadline, Options{Topics: []int{0}, DirectTopics: []int{0}, Peers: 1})
	c.Start(0)
	wantAskOwner(t, c.Wake(askOwnerAfter))
	if as := c.Step(ms(155), OwnerAnswer{StoreTime: ms(300)}); as != nil {
		t.Fatalf("actions %v", as)
	}
	if as := c.Wake(ms(200)); as != nil {
		t.Fatalf("asked again too soon: %v", as)
	}
	wantAskOwner(t, c.Wake(ms(155)+askOwnerInterval))
	wantFinish(t, c.Step(ms(400), OwnerAnswer{IsRead: true}), Done)
}

func TestStoreThatRefusesThisProcessIsReachedThroughAPeer(t *testing.T) {
	c := New(deadline, Options{Topics: []int{0}, Peers: 2})
	if r := route(t, c.Start(0)); r.Peer != 1 {
		t.Fatalf("first route %+v", r)
	}
	wantFinish(t, c.Step(ms(60), AttemptAnswer{Attempt: 0, Result: Done}), Done)
}

func TestUnansweredAttemptIsHedged(t *testing.T) {
	c := New(deadline, Options{Topics: []int{0}, DirectTopics: []int{0}, Peers: 1})
	c.Start(0)
	if as := c.Wake(ms(100)); as != nil {
		t.Fatalf("woke early: %v", as)
	}
	c.Wake(askOwnerAfter)
	c.Step(ms(160), OwnerAnswer{StoreTime: ms(10)})
	if r := route(t, c.Wake(MinHedge)); r.Peer != 1 {
		t.Fatalf("second route %+v", r)
	}
	wantFinish(t, c.Step(ms(500), AttemptAnswer{Attempt: 0, Result: Done}), Done)
}

func TestSlowStoreGetsNoEarlySecondAttempt(t *testing.T) {
	for name, c := range map[string]*Core{
		"this process has seen it":   New(deadline, Options{Topics: []int{0}, DirectTopics: []int{0}, Peers: 1, StoreTime: ms(200)}),
		"the owner says so":          New(deadline, Options{Topics: []int{0}, DirectTopics: []int{0}, Peers: 1}),
		"the append ran out of time": New(deadline, Options{Topics: []int{0}, DirectTopics: []int{0}, Peers: 1, StoreTime: ms(200)}),
	} {
		t.Run(name, func(t *testing.T) {
			c.Start(0)
			wantAskOwner(t, c.Wake(askOwnerAfter))
			c.Step(ms(160), OwnerAnswer{StoreTime: ms(200)})
			if name == "the append ran out of time" {
				wantAskOwner(t, c.Step(ms(700), AttemptAnswer{Attempt: 0, Result: OutcomeUnknown}))
				c.Step(ms(710), OwnerAnswer{StoreTime: ms(200)})
			}
			for at := ms(200); at < ms(800); at += ms(10) {
				for _, a := range c.Wake(at) {
					if _, ok := a.(StartAttempt); ok {
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

func TestRefusalsAfterAnUnknownOutcomeAreNotFinal(t *testing.T) {
	c := New(deadline, Options{Topics: []int{0}, DirectTopics: []int{0}, Peers: 0})
	c.Start(0)
	route(t, c.Step(ms(10), AttemptAnswer{Attempt: 0, Result: OutcomeUnknown}))
	if as := c.Step(ms(20), AttemptAnswer{Attempt: 1, Result: NotWritten}); as != nil {
		t.Fatalf("actions %v, want a pause", as)
	}
	route(t, c.Wake(ms(20)+roundPause))
	wantFinish(t, c.Wake(deadline), OutcomeUnknown)
}

func TestNoAttemptIsCutOffByTheDeadline(t *testing.T) {
	c := New(ms(400), Options{Topics: []int{0}, DirectTopics: []int{0}, Peers: 0})
	c.Start(0)
	wantAskOwner(t, c.Wake(askOwnerAfter))
	c.Step(ms(151), OwnerAnswer{})
	wantFinish(t, c.Step(ms(200), AttemptAnswer{Attempt: 0, Result: NotWritten}), NotWritten)
	c = New(ms(400), Options{Topics: []int{0}, DirectTopics: []int{0}, Peers: 1})
	c.Start(0)
	wantFinish(t, c.Step(ms(200), AttemptAnswer{Attempt: 0, Result: NotWritten}), NotWritten)
}

func TestNotWrittenMeansThatNoAttemptCanHaveWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Options{Topics: []int{2, 0, 1}, Peers: rapid.IntRange(0, 3).Draw(t, "peers")}
		o.DirectTopics = o.Topics[:rapid.IntRange(0, 3).Draw(t, "direct topics")]
		o.StoreTime = ms(rapid.SampledFrom([]int{0, 10, 200, 500}).Draw(t, "store"))
		c := New(deadline, o)
		pending, askPending := []int{}, false
		maybeWritten, written, known := false, false, false
		var result *Result
		take := func(as []Action) {
			for _, a := range as {
				switch a := a.(type) {
				case StartAttempt:
					pending = append(pending, a.Attempt)
				case AskOwner:
					if askPending {
						t.Fatal("asked the owner while a call to it was pending")
					}
					askPending = true
				case Finish:
					if result != nil {
						t.Fatal("finished twice")
					}
					result = &a.Result
				}
			}
		}
		now := time.Duration(0)
		take(c.Start(now))
		for result == nil {
			if askPending && rapid.Bool().Draw(t, "tell") {
				askPending = false
				known = rapid.IntRange(0, 9).Draw(t, "known") == 0
				take(c.Step(now, OwnerAnswer{IsRead: known, StoreTime: ms(rapid.SampledFrom([]int{0, 10, 300}).Draw(t, "store time"))}))
				continue
			}
			if len(pending) > 0 && rapid.Bool().Draw(t, "answer") {
				n := rapid.IntRange(0, len(pending)-1).Draw(t, "which")
				r := Result(rapid.IntRange(0, 2).Draw(t, "result"))
				attempt := pending[n]
				pending = append(pending[:n], pending[n+1:]...)
				maybeWritten = maybeWritten || r == OutcomeUnknown
				written = written || r == Done
				take(c.Step(now, AttemptAnswer{Attempt: attempt, Result: r}))
				continue
			}
			now = max(now+time.Millisecond, min(c.Next(), now+time.Duration(rapid.IntRange(1, 400).Draw(t, "ms"))*time.Millisecond))
			take(c.Wake(now))
			if now > deadline+time.Second {
				t.Fatal("not finished after the deadline")
			}
		}
		if *result == NotWritten && (maybeWritten || written || len(pending) > 0) {
			t.Fatalf("not written, although an attempt may have written (pending %v)", pending)
		}
		if *result == Done && !written && !known {
			t.Fatal("done without a write")
		}
	})
}

func TestConsecutiveRoutesDiffer(t *testing.T) {
	for name, c := range map[string]struct {
		options Options
		want    []Route
	}{
		"all topics served": {
			Options{Topics: []int{2, 0, 1}, DirectTopics: []int{2, 0, 1}, Peers: 2},
			[]Route{{Direct, 2}, {1, 0}, {Direct, 0}, {2, 1}, {Direct, 1}},
		},
		"one topic is unreachable": {
			Options{Topics: []int{2, 0, 1}, DirectTopics: []int{0, 1}, Peers: 1},
			[]Route{{Direct, 0}, {1, 1}, {Direct, 1}},
		},
		"the store refuses this process": {
			Options{Topics: []int{2, 0, 1}, Peers: 3},
			[]Route{{1, 2}, {2, 0}, {3, 1}},
		},
		"the store refuses this process and there are no peers": {
			Options{Topics: []int{1, 0}},
			[]Route{{Direct, 1}, {Direct, 0}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.options.routes(); !slices.Equal(got, c.want) {
				t.Errorf("routes %v, want %v", got, c.want)
			}
		})
	}
}
