package placement

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

func TestALostWorkerEndsItsGang(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 2)))
	w := work("g", "a")
	w.Members, w.Shape, w.Adjacency = 2, size, model.AdjacentRack
	b := r.run(w)
	r.step(WorkerSeen{Worker: b.Parts[0].Worker})
	stop := first[Control](r, r.later(9*time.Second))
	if stop.Worker != b.Parts[1].Worker || stop.Verb != platform.VerbStop {
		t.Fatalf("got %+v", stop)
	}
	done := first[Complete](r, r.end(b, 1, platform.EndStopped))
	if !done.Failed || done.Reason != model.ReasonWorkerLost {
		t.Fatalf("got %+v", done)
	}
}

func TestALeavingWorkerGetsNoNewWork(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 2)))
	r.step(WorkerSeen{Worker: "r1-0", Up: true, Leaving: true})
	for i := range 16 {
		for _, b := range all[Begin](r.submit(work(fmt.Sprint("k", i), "a"))) {
			if b.Parts[0].Worker == "r1-0" {
				t.Fatal("work on a leaving worker")
			}
		}
	}
}

func TestADrainExceptionKeepsWorkOffUntilItExpires(t *testing.T) {
	d := testDoc(testCell("r1", 1))
	yes := true
	d.Exceptions = []config.Exception{{
		ID: "x", Reason: "new fans", Worker: "r1-0", Drain: &yes, Expires: epoch0.Add(30 * time.Second),
	}}
	r := newRig(t, d)
	if got := all[Begin](r.submit(work("k", "a"))); len(got) > 0 {
		t.Fatal("work on a drained worker")
	}
	if got := all[Begin](r.later(30 * time.Second)); len(got) != 1 {
		t.Fatalf("got %+v", got)
	}
}

func TestAnAdoptedPartOfAGangIsStopped(t *testing.T) {
	d := testDoc(testCell("r1", 2))
	r := &rig{t: t, core: New("self"), now: epoch0, parts: map[model.LeaseID]Part{}, works: map[model.LeaseID]model.Work{}}
	r.step(Configured{Config: &config.Versioned{Version: 1, Document: *d}})
	r.step(CellGained{Cell: d.Fleet.Cells[0], Epoch: 32, Running: []Running{{
		Worker: "r1-0", Leased: platform.Leased{
			Lease: "g/1.1/0", Cell: "r1", Shape: one, Started: true,
			Label: platform.Label{Key: "g", Account: "a", Members: 2, Attempt: 1},
		},
	}}})
	if r.core.Running() != 1 {
		t.Fatal("not adopted")
	}
	stop := first[Control](r, r.later(9*time.Second))
	if stop.Lease != "g/1.1/0" || stop.Verb != platform.VerbStop {
		t.Fatalf("got %+v", stop)
	}
}

func TestLeaseIDsAreNotUsedAgainByALaterAttempt(t *testing.T) {
	r := newRig(t, withGuarantee(testDoc(testCell("r1", 1)), "a", 1))
	seen := make(map[model.LeaseID]bool)
	note := func(b Begin) Begin {
		if seen[b.Parts[0].Lease] {
			t.Fatalf("%s is used again", b.Parts[0].Lease)
		}
		seen[b.Parts[0].Lease] = true
		return b
	}
	w := borrower("b1", "b", 8)
	b := note(r.run(w))
	mine := work("mine", "a")
	mine.Shape = size
	r.submit(mine)
	m := first[Begin](r, r.end(b, 0, platform.EndCheckpointed))
	r.step(Started{Key: "mine"})
	b = note(first[Begin](r, r.end(m, 0, platform.EndDone)))
	r.step(Started{Key: "b1"})
	first[Complete](r, r.end(b, 0, platform.EndLapsed))
	// The ledger counts its own attempts and hands in the second one.
	note(first[Begin](r, r.step(Submitted{Work: w, Attempt: 2})))
}

func TestALostCellLeavesNothingOfABeginBehind(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 1), testCell("r2", 1)))
	w := work("g", "a")
	w.Members, w.Shape = 2, size
	b := first[Begin](r, r.submit(w))
	stop := first[Control](r, r.step(CellLost{Cell: b.Parts[0].Cell}))
	if stop.Lease != b.Parts[1].Lease || stop.Verb != platform.VerbStop {
		t.Fatalf("got %+v", stop)
	}
	r.later(time.Minute)
	if r.core.Running() != 0 {
		t.Fatal("still counted as running")
	}
	if free := r.core.Cells()[0].Free; free != size {
		t.Fatalf("free %+v", free)
	}
}
