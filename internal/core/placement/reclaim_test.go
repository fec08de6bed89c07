package placement

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

func TestUrgentWorkStartsWithinItsBound(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 1)))
	b := r.run(borrower("low", "a", 8))
	w := work("now", "b")
	w.Class = model.ClassUrgent
	first[Control](r, r.submit(w))
	// The checkpoint does not come; the stop must leave time for the start.
	stop := first[Control](r, r.later(4*time.Second))
	if stop.Verb != platform.VerbStop {
		t.Fatalf("got %+v", stop)
	}
	got := first[Begin](r, r.end(b, 0, platform.EndStopped))
	if got.Work.Key != "now" || got.Reclaimed > 5*time.Second {
		t.Fatalf("got %+v", got)
	}
}

func TestUrgentWorkSharesRoomThatOthersAreLeaving(t *testing.T) {
	r := newRig(t, withGuarantee(testDoc(testCell("r1", 1)), "a", 1))
	slow := r.run(borrower("slow", "b", 8))
	w := work("mine", "a")
	w.Shape = one.Times(4)
	first[Control](r, r.submit(w))
	now := work("now", "a")
	now.Class = model.ClassUrgent
	r.submit(now)
	// Its victim was asked with a longer bound; now the urgent one holds.
	if c := first[Control](r, r.later(3*time.Second)); c.Verb != platform.VerbStop {
		t.Fatalf("got %+v", c)
	}
	began := all[Begin](r.end(slow, 0, platform.EndStopped))
	if len(began) != 2 || began[0].Work.Key != "now" {
		t.Fatalf("got %+v", began)
	}
}

func TestVictimsAreThoseThatLoseLeastAndWholeGangs(t *testing.T) {
	r := newRig(t, withGuarantee(testDoc(testCell("r1", 2)), "a", 1))
	gang := borrower("old-gang", "b", 4)
	gang.Members, gang.Adjacency = 2, model.AdjacentRack
	r.run(gang)
	r.later(time.Second)
	r.now = r.now.Add(10 * time.Minute)
	for i := range 2 {
		r.run(borrower(fmt.Sprint("young", i), "b", 4))
	}
	w := work("mine", "a")
	w.Shape = one.Times(4)
	asked := make(map[model.LeaseID]bool)
	for _, c := range all[Control](r.submit(w)) {
		asked[c.Lease] = true
	}
	gangAsked := 0
	for l := range asked {
		if r.works[l].Key == "old-gang" {
			gangAsked++
		}
	}
	if len(asked) == 0 || (gangAsked != 0 && gangAsked != 2) {
		t.Fatalf("asked %v", asked)
	}
	if gangAsked > 0 {
		t.Fatal("the gang with ten minutes of work was chosen over a fresh task")
	}
}

func TestALargeJobGetsARackDrained(t *testing.T) {
	d := testDoc(testCell("r1", 2), testCell("r2", 2))
	r := newRig(t, d)
	var begins []Begin
	for i := range 4 {
		w := work(fmt.Sprint("firm", i), "b")
		w.Shape = size
		begins = append(begins, r.run(w))
	}
	big := work("big", "a")
	big.Members, big.Shape, big.Adjacency = 2, size, model.AdjacentRack
	r.submit(big)
	r.later(15 * time.Second)
	why, _ := r.core.Why("big")
	drained := model.CellID("r1")
	if why == fmt.Sprintf("cell %s is being emptied for it", "r2") {
		drained = "r2"
	} else if why != "cell r1 is being emptied for it" {
		t.Fatalf("why: %s", why)
	}
	if n := countAlarms(r.log, AlarmLargeWait); n != 1 {
		t.Fatalf("operators were told %d times, want once", n)
	}
	// Firm work stays out of the drained rack; work that can leave may fill it.
	var last Begin
	for _, b := range begins {
		if b.Parts[0].Cell != drained {
			continue
		}
		if last.Work.Key == "" {
			last = b
			continue
		}
		if got := all[Begin](r.end(b, 0, platform.EndDone)); len(got) > 0 {
			t.Fatalf("began %+v", got)
		}
	}
	firm := work("small-firm", "b")
	if got := all[Begin](r.submit(firm)); len(got) > 0 {
		t.Fatalf("firm work went into the drained rack: %+v", got)
	}
	filler := r.run(borrower("filler", "c", 1))
	if filler.Parts[0].Cell != drained {
		t.Fatal("the gap was not filled")
	}
	first[Control](r, r.end(last, 0, platform.EndDone))
	if got := first[Begin](r, r.end(filler, 0, platform.EndCheckpointed)); got.Work.Key != "big" {
		t.Fatalf("began %s", got.Work.Key)
	}
}

func TestAnUnmetGuaranteeAlarmsOnce(t *testing.T) {
	r := newRig(t, withGuarantee(testDoc(testCell("r1", 2)), "a", 1))
	var at model.WorkerID
	for _, u := range r.core.cells["r1"].units {
		at = u.at.id
	}
	w := work("firm", "b")
	w.Shape = size
	r.run(w)
	got := all[Alarm](r.step(WorkerSeen{Worker: at}))
	if len(got) != 1 || got[0].Code != AlarmGuaranteeUnmet || got[0].Account != "a" {
		t.Fatalf("got %+v", got)
	}
	if again := all[Alarm](r.later(time.Second)); len(again) > 0 {
		t.Fatalf("alarmed again: %+v", again)
	}
	r.step(WorkerSeen{Worker: at, Up: true})
	if g := r.core.Accounts()[0].Guaranteed; g != size {
		t.Fatalf("guaranteed %+v after the worker came back", g)
	}
}

func TestUrgentWorkDoesNotEvictUrgentWork(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 1)))
	w := borrower("first", "a", 8)
	w.Class = model.ClassUrgent
	first[Begin](r, r.submit(w))
	w = borrower("second", "b", 4)
	w.Class = model.ClassUrgent
	if got := r.submit(w); len(got) > 0 {
		t.Fatalf("got %+v", got)
	}
}

func countAlarms(log []Action, code AlarmCode) int {
	n := 0
	for _, a := range all[Alarm](log) {
		if a.Code == code {
			n++
		}
	}
	return n
}
