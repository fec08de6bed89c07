package term

import (
	"slices"
	"testing"
	"time"
)

func TestWaitingClaimNamesTheWitnessesThatItWaitsFor(t *testing.T) {
	f := &fakeStore{}
	_, stored := ownerWithWitnesses(f, 5)
	b := newContender(9)
	b.readAll(stored, f)
	var reports []ClaimWaits
	step := func(now time.Duration, ev Event) {
		for _, a := range b.core.Step(now, ev) {
			if a, ok := a.(ClaimWaits); ok {
				reports = append(reports, a)
			}
		}
	}
	rec := f.records[len(f.records)-1]
	now := stored
	ticks := func(d time.Duration) {
		for end := now + d; now < end; now += 50 * time.Millisecond {
			step(now, Tick{})
		}
	}
	ticks(DefaultSettings().StaleAfter)
	if len(reports) > 0 {
		t.Fatalf("reported before a claim is due: %+v", reports)
	}
	ticks(time.Second)
	step(now, ConsentRefused{Witness: testWitness(2).ID, Term: rec.Term, Renewal: rec.Renewal})
	ticks(time.Second)
	step(now, ConsentRefused{Witness: testWitness(2).ID, Term: rec.Term, Renewal: rec.Renewal})
	step(now, ConsentRefused{Witness: testWitness(3).ID, Term: rec.Term, Renewal: rec.Renewal - 1})
	step(now, Consented{Witness: testWitness(4).ID, Term: rec.Term, Renewal: rec.Renewal})
	ticks(time.Second)
	if len(reports) != 3 {
		t.Fatalf("%d reports, want one for each change of the answers: %+v", len(reports), reports)
	}
	addrs := func(ns ...int) (out []string) {
		for _, n := range ns {
			out = append(out, testWitness(n).Addr)
		}
		return out
	}
	last := reports[2]
	if !slices.Equal(last.Consented, addrs(4)) || !slices.Equal(last.Refused, addrs(2)) || !slices.Equal(last.Silent, addrs(1, 3, 5)) || last.Needed != 2 {
		t.Errorf("reported %+v", last)
	}
	if before := reports[1].MaxWait; last.MaxWait <= 0 || last.MaxWait >= before {
		t.Errorf("the claim waits for at most %v, and %v before", last.MaxWait, before)
	}
}
