package witness

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testHold = 1500 * time.Millisecond

func TestQuorumsIntersect(t *testing.T) {
	for n := 1; n <= 100; n++ {
		if p, c := Promises(n), Consents(n); p+c <= n || p > n || c < 1 {
			t.Errorf("%d witnesses: %d promises, %d consents", n, p, c)
		}
	}
}

func TestWitness(t *testing.T) {
	self, earlier, other := IDOf("m/2"), IDOf("m/1"), IDOf("n/1")
	at := func(term, renewal int64) Position { return Position{term, renewal} }
	for name, c := range map[string]struct {
		prepare func(w *Core)
		ask     func(w *Core) bool
		want    bool
	}{
		"a first promise": {
			ask:  func(w *Core) bool { return w.Promise(0, self, at(3, 7)) },
			want: true,
		},
		"a promise for an earlier incarnation": {
			ask: func(w *Core) bool { return w.Promise(time.Hour, earlier, at(3, 7)) },
		},
		"consent while a promise holds": {
			prepare: func(w *Core) { w.Promise(0, self, at(3, 7)) },
			ask:     func(w *Core) bool { return w.Consent(testHold-1, self, at(3, 7)) },
		},
		"consent to a later renewal while a promise holds": {
			prepare: func(w *Core) { w.Promise(0, self, at(3, 7)) },
			ask:     func(w *Core) bool { return w.Consent(testHold-1, self, at(3, 8)) },
		},
		"consent after the promise": {
			prepare: func(w *Core) { w.Promise(0, self, at(3, 7)) },
			ask:     func(w *Core) bool { return w.Consent(testHold, self, at(3, 7)) },
			want:    true,
		},
		"consent to what follows an earlier term than the promise": {
			prepare: func(w *Core) { w.Promise(0, self, at(4, 0)) },
			ask:     func(w *Core) bool { return w.Consent(time.Hour, self, at(3, 7)) },
		},
		"a promise after consent": {
			prepare: func(w *Core) { w.Consent(0, self, at(3, 7)) },
			ask:     func(w *Core) bool { return w.Promise(time.Hour, self, at(3, 7)) },
		},
		"a promise to an owner that knows of an earlier renewal only": {
			prepare: func(w *Core) { w.Consent(0, self, at(3, 7)) },
			ask:     func(w *Core) bool { return w.Promise(time.Hour, self, at(3, 6)) },
		},
		"a promise to an owner that has stored a renewal since": {
			prepare: func(w *Core) { w.Consent(0, self, at(3, 7)) },
			ask:     func(w *Core) bool { return w.Promise(1, self, at(3, 8)) },
			want:    true,
		},
		"a promise while another wants to claim": {
			prepare: func(w *Core) {
				w.Promise(0, self, at(3, 7))
				w.Consent(testHold-1, self, at(3, 7))
			},
			ask: func(w *Core) bool { return w.Promise(2*testHold-2, self, at(3, 7)) },
		},
		"a promise when nobody wants to claim any more": {
			prepare: func(w *Core) {
				w.Promise(0, self, at(3, 7))
				w.Consent(testHold-1, self, at(3, 7))
			},
			ask:  func(w *Core) bool { return w.Promise(2*testHold-1, self, at(3, 7)) },
			want: true,
		},
		"a promise while another wants to claim, to an owner that has stored a renewal": {
			prepare: func(w *Core) {
				w.Promise(0, self, at(3, 7))
				w.Consent(1, self, at(3, 7))
			},
			ask:  func(w *Core) bool { return w.Promise(2, self, at(3, 8)) },
			want: true,
		},
		"a promise to the next owner": {
			prepare: func(w *Core) { w.Consent(0, self, at(3, 7)) },
			ask:     func(w *Core) bool { return w.Promise(1, self, at(4, 0)) },
			want:    true,
		},
		"a promise to the owner before": {
			prepare: func(w *Core) { w.Promise(0, self, at(4, 0)) },
			ask:     func(w *Core) bool { return w.Promise(time.Hour, self, at(3, 9)) },
		},
		"consent for an earlier incarnation while its promise may hold": {
			ask: func(w *Core) bool { return w.Consent(testHold-1, earlier, at(3, 7)) },
		},
		"consent for an earlier incarnation": {
			ask:  func(w *Core) bool { return w.Consent(testHold, earlier, at(3, 7)) },
			want: true,
		},
		"consent for an incarnation on another machine": {
			ask: func(w *Core) bool { return w.Consent(time.Hour, other, at(3, 7)) },
		},
		"consent of a process that stops for another incarnation": {
			prepare: func(w *Core) { w.Stop() },
			ask:     func(w *Core) bool { return w.Consent(time.Hour, earlier, at(3, 7)) },
		},
		"a promise of a process that stops": {
			prepare: func(w *Core) { w.Stop() },
			ask:     func(w *Core) bool { return w.Promise(0, self, at(3, 7)) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := New(self, testHold, 0)
			if c.prepare != nil {
				c.prepare(w)
			}
			if got := c.ask(w); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestNoPromiseOutlastsAConsentedClaim checks with any order of questions, restarts included, that a
// set of witnesses never lets an owner keep its term while a claim that follows the same stored
// renewal has their consent.
func TestNoPromiseOutlastsAConsentedClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, MaxWitnesses).Draw(t, "witnesses")
		ids, live := make([]ID, n), make([]*Core, n)
		for w := range n {
			ids[w] = IDOf(fmt.Sprintf("m%d/1", w))
			live[w] = New(ids[w], testHold, 0)
		}
		asked, consented := make([]time.Duration, n), make([]bool, n)
		now, owner := time.Duration(0), Position{Term: 1, Renewal: 3}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			w := rapid.IntRange(0, n-1).Draw(t, "witness")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1, 2:
				if live[w].Promise(now, ids[w], owner) {
					asked[w] = now + 1
				}
			case 3, 4, 5:
				consented[w] = live[w].Consent(now, ids[w], owner) || consented[w]
			case 6:
				live[w] = New(IDOf(fmt.Sprintf("m%d/%d", w, now)), testHold, now)
			}
			kept, consents := 0, 0
			for w := range n {
				if asked[w] > 0 && now < asked[w]-1+testHold {
					kept++
				}
				if consented[w] {
					consents++
				}
			}
			if kept >= Promises(n) && consents >= Consents(n) {
				t.Fatalf("%d of %d witnesses hold the term and %d have consented to the next", kept, n, consents)
			}
		}
	})
}

func TestRankTakesDataCentresInTurn(t *testing.T) {
	got := Rank("a", []Candidate{
		{"a1", "a", true},
		{"a2", "a", true},
		{"b1", "b", true},
		{"b2", "b", true},
		{"c1", "c", true},
		{"c2", "c", false},
	})
	want := []string{"b1", "c1", "a1", "b2", "c2", "a2"}
	for n, c := range got {
		if c.Addr != want[n] {
			t.Fatalf("order %v, want %v", got, want)
		}
	}
}
