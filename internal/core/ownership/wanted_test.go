package ownership

import (
	"testing"
	"time"

	"coltsfootmux/internal/model"
)

// heldAt counts the holds asked for at a worker.
func (b *bench) heldAt(w model.WorkerID) int {
	n := 0
	for _, h := range of[Hold](b.did) {
		if h.Worker.ID == w {
			n++
		}
	}
	return n
}

func TestHoldsAreKeptAtWitnessesAndWhereTheyAreWanted(t *testing.T) {
	b := newBench("b")
	b.hostList("b")
	b.configure(groupTarget())
	b.wait(5 * time.Second)
	if _, ok := b.c.MayStart(b.now, 0); !ok {
		t.Fatal("the group was not gained")
	}
	if n := b.heldAt("w4"); n != 0 {
		t.Fatalf("%d holds at a worker that nobody wanted", n)
	}
	if _, ok := b.c.MayStartAt(b.now, 0, "w4"); ok {
		t.Fatal("a start was allowed without a hold")
	}

	b.step(HoldWanted{Group: 0, Worker: "w4"})
	if _, ok := b.c.MayStartAt(b.now, 0, "w4"); !ok {
		t.Fatal("the wanted hold was not taken at once")
	}
	b.wait(unwantedHolds * b.c.set.HoldTTL / 2)
	if _, ok := b.c.MayStartAt(b.now, 0, "w4"); !ok {
		t.Fatal("the wanted hold was not renewed")
	}
	b.wait(unwantedHolds * b.c.set.HoldTTL)
	before := b.heldAt("w4")
	b.wait(5 * time.Second)
	if n := b.heldAt("w4") - before; n != 0 {
		t.Fatalf("%d renewals of a hold that nobody wants any more", n)
	}
}
