package instance

import (
	"context"
	"testing"
	"time"
)

// runLate has the process of a node run late until the test ends.
func (n *node) runLate(t *testing.T, late time.Duration) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			n.inst.lag.observe(late)
			sleep(ctx, tickInterval/2)
		}
	}()
}

// TestOwnerThatRunsLateDoesNotTakeItsLagForTheStoresRefusal guards against an owner that gave its term
// up, nine times in a minute, as answers of the store waited in its own process to be read.
func TestOwnerThatRunsLateDoesNotTakeItsLagForTheStoresRefusal(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		late  time.Duration
		keeps bool
	}{
		"the store is slow for the owner alone": {0, false},
		"the owner runs late":                   {300 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 0)
			r.platformTerm = true
			for n := range 4 {
				r.addInstance(n)
			}
			r.waitFor("an owner", func() bool { return r.owner() != nil })
			time.Sleep(3 * time.Second) // witnesses are named
			owner, first := r.owner(), r.owner().inst.ownedTermNumber()
			if c.late > 0 {
				owner.runLate(t, c.late)
			}
			owner.conn.latency.Store(int64(700 * time.Millisecond))
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if owner.inst.ownedTermNumber() != first {
					if c.keeps {
						t.Error("the owner gave its term up")
					}
					return
				}
			}
			if !c.keeps {
				t.Error("the owner kept its term, so that the case shows nothing")
			}
		})
	}
}

// TestCallsGetTheTimeThatTheOwnLagTakes guards against calls that are given up while their answers
// wait to be read: each costs a connection and an order that is made again.
func TestCallsGetTheTimeThatTheOwnLagTakes(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ late, atLeast, atMost time.Duration }{
		"in time":   {0, 90 * time.Millisecond, 350 * time.Millisecond},
		"late":      {100 * time.Millisecond, 450 * time.Millisecond, 900 * time.Millisecond},
		"very late": {time.Minute, 1500 * time.Millisecond, 2200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := &lagMeter{}
			began := time.Now()
			ctx, cancel := m.limit(t.Context(), 100*time.Millisecond)
			defer cancel()
			m.observe(c.late)
			<-ctx.Done()
			if d := time.Since(began); d < c.atLeast || d > c.atMost {
				t.Errorf("given up after %v, want %v to %v", d, c.atLeast, c.atMost)
			}
		})
	}
}
