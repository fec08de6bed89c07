package ownership

import (
	"testing"
	"time"

	"coltsfootmux/internal/model"
)

func TestAKeyGroupIsGainedAfterThreeHoldTimes(t *testing.T) {
	b := newBench("a")
	b.hostList("a")
	b.configure(groupTarget())
	b.wait(3 * time.Second)
	if _, ok := b.c.MayStart(b.now, 0); ok {
		t.Fatal("may start before old holds have lapsed")
	}
	b.wait(time.Second)
	if _, ok := b.c.MayStart(b.now, 0); !ok {
		t.Fatal("may not start after old holds have lapsed")
	}
}

func TestAnOwnerThatCannotRenewStopsByItsOwnClock(t *testing.T) {
	b := newBench("a")
	b.hostList("a")
	b.configure(groupTarget())
	b.wait(5 * time.Second)
	b.dead["w0"], b.dead["w1"] = true, true
	b.now = b.now.Add(time.Second)
	if _, ok := b.c.MayStart(b.now, 0); ok {
		t.Error("may start after a hold's time to live without a tick in between")
	}
	b.step(Tick{})
	if len(of[Suspend](b.did)) != 1 {
		t.Error("not suspended")
	}
	b.dead = map[model.WorkerID]bool{}
	b.wait(5 * time.Second)
	if _, ok := b.c.MayStart(b.now, 0); !ok {
		t.Error("not regained")
	}
}

func TestAHandOverNeedsNoWaitForHolds(t *testing.T) {
	b := newBench("self")
	b.hostList("a", "self")
	b.configure(groupTarget())
	at := b.successor(groupTarget(), 1)
	for _, w := range groupTarget().Workers {
		b.epochs[string(w.ID)+groupTarget().Scope.String()] = model.EpochOf(at, 0)
	}
	b.step(HandedOver{From: "a", Claim: at})
	if _, ok := b.c.MayStart(b.now, 0); !ok {
		t.Error("not gained at once")
	}
}

func TestAHandOverWaitsWhenSomebodyElseCameInBetween(t *testing.T) {
	b := newBench("self")
	b.hostList("a", "self")
	b.configure(groupTarget())
	at := b.successor(groupTarget(), 2)
	for _, w := range groupTarget().Workers {
		b.epochs[string(w.ID)+groupTarget().Scope.String()] = model.EpochOf(at, 1)
	}
	b.step(HandedOver{From: "a", Claim: at})
	if _, ok := b.c.MayStart(b.now, 0); ok {
		t.Error("gained without waiting for the holds of rank 1")
	}
}

func TestAGapCoversWorkersThatCannotBeReachedUntilTheyJoin(t *testing.T) {
	b := newBench("a")
	b.hostList("a")
	b.dead["w4"] = true
	b.configure(groupTarget())
	b.wait(5 * time.Second)
	gains := of[Gain](b.did)
	if len(gains) != 1 || gains[0].Gap.Before(b.now.Add(-2*time.Second)) {
		t.Fatalf("gains %+v", gains)
	}
	b.dead["w4"] = false
	b.wait(time.Second)
	joins := of[Joined](b.did)
	if len(joins) != 1 || joins[0].Found.Worker.ID != "w4" || joins[0].Gap.After(start) {
		t.Errorf("joins %+v", joins)
	}
}

func TestAGapReachesToTheYoungestWorkersStart(t *testing.T) {
	b := newBench("a")
	b.hostList("a")
	b.born["w3"] = start.Add(-time.Minute)
	b.configure(groupTarget())
	b.wait(5 * time.Second)
	gap := of[Gain](b.did)[0].Gap
	if gap.Before(b.born["w3"]) || gap.After(b.born["w3"].Add(2*time.Second)) {
		t.Errorf("gap ends %s, worker began %s", gap, b.born["w3"])
	}
}

func TestAnOwnerWhoseWitnessesRestartedNeedsAClaimOfItsOwn(t *testing.T) {
	b := newBench("a")
	b.hostList("a")
	b.configure(groupTarget())
	b.wait(5 * time.Second)
	first, ok := b.c.MayStart(b.now, 0)
	if !ok {
		t.Fatal("not gained")
	}
	for _, w := range []model.WorkerID{"w0", "w1"} {
		b.born[w] = b.now
		delete(b.epochs, string(w)+groupTarget().Scope.String())
	}
	b.wait(10 * time.Second)
	again, ok := b.c.MayStart(b.now, 0)
	if !ok || again <= first {
		t.Errorf("may start %v under epoch %d, after %d", ok, again, first)
	}
}

func TestABrokenTermListsEveryWorkerAnew(t *testing.T) {
	b := newBench("self")
	b.hostList("a", "self")
	b.configure(groupTarget())
	at := b.successor(groupTarget(), 1)
	b.step(HandedOver{From: "a", Claim: at})
	b.wait(5 * time.Second)
	b.did = nil
	// Another host's epoch was seen at two of three witnesses before our raise.
	for _, w := range []model.WorkerID{"w0", "w1"} {
		b.epochs[string(w)+groupTarget().Scope.String()] = model.EpochOf(at, 2)
	}
	line := []model.Member{b.c.set.Self}
	b.step(ClaimRead{Offset: b.next, Claim: model.Claim{Scope: groupTarget().Scope, Replaces: b.claimOf(), Line: line}})
	b.wait(5 * time.Second)
	gains := of[Gain](b.did)
	if len(gains) != 1 || gains[0].Unbroken || len(gains[0].Found) != len(groupTarget().Workers) {
		t.Errorf("gains %+v", gains)
	}
}

// claimOf is the offset of the group's current claim.
func (b *bench) claimOf() model.Offset {
	return b.c.byScope[groupTarget().Scope].offset
}
