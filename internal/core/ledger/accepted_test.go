package ledger

import (
	"testing"
	"time"

	"coltsfootmux/internal/model"
)

func acceptedJob(k model.Key, idempotent bool) Accepted {
	return Accepted{Work: model.Work{Key: k, Account: "a", Members: 1, Idempotent: idempotent, Detached: true}, Sum: 1}
}

func TestAcceptedJobs(t *testing.T) {
	fresh, old := keyAt(start, 1), keyAt(start.Add(-time.Hour), 2)
	cases := map[string]func(*testing.T, *bench){
		"a new job is dispatched once": func(t *testing.T, b *bench) {
			b.step(acceptedJob(fresh, false))
			b.step(acceptedJob(fresh, false))
			if n := count[Dispatch](b.did); n != 1 {
				t.Fatalf("dispatched %d times", n)
			}
		},
		"a non-idempotent job from before a gap ends as unknown": func(t *testing.T, b *bench) {
			b.step(acceptedJob(old, false))
			if n := count[Dispatch](b.did); n != 0 {
				t.Fatalf("dispatched %d times", n)
			}
			st, ok := b.c.Status(old)
			if !ok || st.Result == nil || st.Result.Outcome != model.OutcomeUnknown || count[Record](b.did) != 1 {
				t.Fatalf("status %+v, %d records", st, count[Record](b.did))
			}
		},
		"an idempotent job from before a gap runs": func(t *testing.T, b *bench) {
			b.step(acceptedJob(old, true))
			if n := count[Dispatch](b.did); n != 1 {
				t.Fatalf("dispatched %d times", n)
			}
		},
		"a job whose key is too old is refused before it is recorded": func(t *testing.T, b *bench) {
			w := acceptedJob(keyAt(start.Add(-48*time.Hour), 3), true).Work
			r, refused := b.c.Refusal(b.now, &w)
			if !refused || r.Reason != model.ReasonKeyExpired {
				t.Fatalf("refused %v, %+v", refused, r)
			}
		},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) { f(t, newBench()) })
	}
}

func count[T Action](as []Action) int {
	n := 0
	for _, a := range as {
		if _, ok := a.(T); ok {
			n++
		}
	}
	return n
}
