package term

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/core/witness"
)

// ownerWithWitnesses returns an owner whose stored record names n witnesses, and the time.
func ownerWithWitnesses(f *fakeStore, n int) (*contender, time.Duration) {
	a := newContender(0)
	a.readAll(0, f)
	a.step(time.Millisecond, Tick{})
	a.answer(2*time.Millisecond, f)
	ev := WitnessesChecked{Term: 1}
	for w := range n {
		ev.Answered = append(ev.Answered, testWitness(w+1))
	}
	a.step(3*time.Millisecond, ev)
	now := 600 * time.Millisecond
	a.step(now, Tick{})
	a.answer(now, f)
	return a, now
}

func testWitness(n int) Witness {
	return Witness{Addr: fmt.Sprintf("10.0.0.%d:1", n), ID: witness.IDOf(fmt.Sprintf("node-%d/1", n))}
}

func TestOwnerWithoutStoredRenewalGivesUpUnlessWitnessesPromise(t *testing.T) {
	for name, c := range map[string]struct {
		witnesses, promising int
		keeps                bool
	}{
		"none is named":              {0, 0, false},
		"none promises":              {5, 0, false},
		"too few promise":            {5, 3, false},
		"enough promise":             {5, 4, true},
		"all promise":                {5, 5, true},
		"one of two promises":        {2, 1, false},
		"the only one promises":      {1, 1, true},
		"strangers promise":          {0, 5, false},
		"two of three promise":       {3, 2, false},
		"three of four do, one died": {4, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeStore{}
			a, began := ownerWithWitnesses(f, c.witnesses)
			for now := began; now < began+10*time.Second; now += 50 * time.Millisecond {
				if now%time.Second == 0 {
					for w := range c.promising {
						a.step(now, Promised{Witness: testWitness(w + 1).ID, Term: 1, At: now})
					}
				}
				a.step(now, Tick{})
				for len(a.pending) > 0 {
					w := a.pending[0]
					a.pending = a.pending[1:]
					a.step(now, WriteResult{Outcome: WriteFailed, Record: w.Record})
				}
			}
			if (a.ownedTerm != 0) != c.keeps {
				t.Errorf("owns term %d at the end", a.ownedTerm)
			}
		})
	}
}
