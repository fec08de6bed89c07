package placement

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

func TestWorkRunsToItsEnd(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 2)))
	b := r.run(work("k1", "a"))
	if r.core.Running() != 1 {
		t.Fatalf("running %d, want 1", r.core.Running())
	}
	done := first[Complete](r, r.end(b, 0, platform.EndDone))
	if done.Failed || done.Key != "k1" {
		t.Fatalf("got %+v", done)
	}
	if r.core.Running() != 0 || r.core.Waiting() != 0 {
		t.Fatal("work left behind")
	}
}

func TestFreedRoomGoesToWaitingWork(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 1)))
	w := work("big", "a")
	w.Shape = size
	b := r.run(w)
	w.Key = "next"
	if got := r.submit(w); len(got) != 0 {
		t.Fatalf("full worker gave %+v", got)
	}
	if why, ok := r.core.Why("next"); !ok || why == "" {
		t.Fatal("no reason for the wait")
	}
	if got := first[Begin](r, r.end(b, 0, platform.EndDone)); got.Work.Key != "next" {
		t.Fatalf("began %s", got.Work.Key)
	}
}

func TestRefusedBeginIsTriedElsewhereAndThenGivenUp(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 2)))
	seen := make(map[model.WorkerID]bool)
	leases := make(map[model.LeaseID]bool)
	b := first[Begin](r, r.submit(work("k1", "a")))
	for range beginTries {
		p := b.Parts[0]
		if leases[p.Lease] {
			t.Fatalf("lease id %s used twice", p.Lease)
		}
		leases[p.Lease] = true
		seen[p.Worker] = true
		got := r.step(BeginFailed{Key: "k1", Worker: p.Worker})
		got = append(got, r.later(time.Second)...)
		if refused := all[Refuse](got); len(refused) > 0 {
			if refused[0].Reason != model.ReasonRetriesSpent || len(seen) < 2 {
				t.Fatalf("%+v after workers %v", refused[0], seen)
			}
			return
		}
		b = first[Begin](r, got)
	}
	t.Fatal("never given up")
}

func TestCancelledWorkNeverStarts(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 1)))
	w := work("run", "a")
	w.Shape = size
	b := r.run(w)
	for i := range 50 {
		w.Key = model.Key(fmt.Sprint("w", i))
		r.submit(w)
	}
	for i := range 50 {
		k := model.Key(fmt.Sprint("w", i))
		if got := first[Refuse](r, r.step(Cancelled{Key: k})); got.Reason != model.ReasonCancelled {
			t.Fatalf("got %+v", got)
		}
	}
	if got := all[Begin](r.end(b, 0, platform.EndDone)); len(got) != 0 {
		t.Fatalf("cancelled work began: %+v", got)
	}
}

func TestCancelWhileABeginIsUnderWay(t *testing.T) {
	for name, answer := range map[string]Event{
		"the begin fails":        BeginFailed{Key: "k1", Worker: "r1-0"},
		"the begin came through": Started{Key: "k1"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testDoc(testCell("r1", 1)))
			b := first[Begin](r, r.submit(work("k1", "a")))
			first[Abort](r, r.step(Cancelled{Key: "k1"}))
			got := r.step(answer)
			if _, ran := answer.(Started); !ran {
				first[Refuse](r, got)
				return
			}
			if c := first[Control](r, got); c.Verb != platform.VerbStop {
				t.Fatalf("got %+v", c)
			}
			done := first[Complete](r, r.end(b, 0, platform.EndStopped))
			if done.Reason != model.ReasonCancelled {
				t.Fatalf("got %+v", done)
			}
		})
	}
}

func TestAFailedMemberStopsTheWholeGang(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 4)))
	w := work("g", "a")
	w.Members, w.Shape, w.Adjacency = 4, size, model.AdjacentRack
	b := r.run(w)
	stops := all[Control](r.end(b, 2, platform.EndFailed))
	if len(stops) != 3 {
		t.Fatalf("%d stops, want 3", len(stops))
	}
	r.end(b, 0, platform.EndStopped)
	r.end(b, 1, platform.EndStopped)
	done := first[Complete](r, r.end(b, 3, platform.EndStopped))
	if !done.Failed || done.Reason != model.ReasonMemberFailed {
		t.Fatalf("got %+v", done)
	}
}

func withGuarantee(d *config.Document, account model.Account, shapes int) *config.Document {
	for i := range d.Accounts {
		if d.Accounts[i].Name == account {
			d.Accounts[i].Guarantees = []config.Guarantee{{Shape: size, Count: shapes, Adjacency: model.AdjacentRack}}
		}
	}
	return d
}

func TestGuaranteedRoomIsReclaimedFromBorrowers(t *testing.T) {
	r := newRig(t, withGuarantee(testDoc(testCell("r1", 2)), "a", 1))
	b1 := r.run(borrower("b1", "b", 8))
	b2 := r.run(borrower("b2", "b", 8))
	w := work("mine", "a")
	w.Shape = size
	got := r.submit(w)
	ask := all[Control](got)
	if len(ask) != 1 || ask[0].Verb != platform.VerbCheckpoint {
		t.Fatalf("got %+v", got)
	}
	stop := first[Control](r, r.later(4*time.Second))
	if stop.Verb != platform.VerbStop || stop.Lease != ask[0].Lease {
		t.Fatalf("got %+v", stop)
	}
	victim := b1
	if b2.Parts[0].Lease == ask[0].Lease {
		victim = b2
	}
	got = r.end(victim, 0, platform.EndStopped)
	if b := first[Begin](r, got); b.Work.Key != "mine" {
		t.Fatalf("began %s", b.Work.Key)
	}
	if r.core.Waiting() != 1 {
		t.Fatal("the victim is not queued again")
	}
}

func TestFirmWorkKeepsOutOfGuaranteedRoom(t *testing.T) {
	r := newRig(t, withGuarantee(testDoc(testCell("r1", 2)), "a", 1))
	w := work("f1", "b")
	w.Shape = size
	r.run(w)
	w.Key = "f2"
	if got := all[Begin](r.submit(w)); len(got) != 0 {
		t.Fatalf("firm work took guaranteed room: %+v", got)
	}
}

func TestPreemptedWorkBeginsAgainUnderNewLeases(t *testing.T) {
	r := newRig(t, withGuarantee(testDoc(testCell("r1", 1)), "a", 1))
	b1 := r.run(borrower("b1", "b", 8))
	w := work("mine", "a")
	w.Shape = size
	r.submit(w)
	mine := first[Begin](r, r.end(b1, 0, platform.EndCheckpointed))
	r.step(Started{Key: "mine"})
	again := first[Begin](r, r.end(mine, 0, platform.EndDone))
	if again.Attempt != 2 || again.Parts[0].Lease == b1.Parts[0].Lease {
		t.Fatalf("got %+v", again)
	}
}
