package placement

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

func TestAdmission(t *testing.T) {
	d := testDoc(testCell("r1", 2))
	d.Accounts[1].QueueBound = 1
	d.Accounts[2].DataCentres = []model.DataCentre{"elsewhere"}
	for name, c := range map[string]struct {
		change func(w *model.Work)
		want   model.Reason
	}{
		"a shape larger than any worker is refused at once": {
			func(w *model.Work) { w.Shape = one.Times(9) }, model.ReasonImpossible,
		},
		"a gang larger than any rack is refused at once": {
			func(w *model.Work) { w.Members, w.Shape, w.Adjacency = 3, size, model.AdjacentRack }, model.ReasonImpossible,
		},
		"work without a size is refused": {
			func(w *model.Work) { w.Shape = model.Shape{CPUMilli: -1} }, model.ReasonImpossible,
		},
		"an account that may run nowhere is refused": {
			func(w *model.Work) { w.Account = "c" }, model.ReasonImpossible,
		},
		"an unknown account is refused": {
			func(w *model.Work) { w.Account = "nobody" }, model.ReasonUnknownAccount,
		},
		"work past its deadline is refused": {
			func(w *model.Work) { w.Deadline = epoch0.Add(-time.Second) }, model.ReasonTooLate,
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, d)
			w := work("k", "a")
			c.change(&w)
			if got := first[Refuse](r, r.submit(w)); got.Reason != c.want {
				t.Fatalf("got %s, want %s", got.Reason, c.want)
			}
		})
	}
}

func TestAFullQueueRefusesWithATimeToComeBack(t *testing.T) {
	d := testDoc(testCell("r1", 1))
	d.Accounts[1].QueueBound = 1
	r := newRig(t, d)
	w := work("run", "b")
	w.Shape = size
	r.run(w)
	w.Key = "waits"
	r.submit(w)
	w.Key = "too-many"
	got := first[Refuse](r, r.submit(w))
	if got.Reason != model.ReasonQueueFull || got.RetryAfter <= 0 {
		t.Fatalf("got %+v", got)
	}
}

func TestWaitingWorkIsAnsweredAtItsBound(t *testing.T) {
	for name, c := range map[string]struct {
		deadline time.Duration
		after    time.Duration
		want     model.Reason
	}{
		"the longest wait":                {0, 60 * time.Second, model.ReasonWaitBound},
		"a deadline before that":          {10 * time.Second, 10 * time.Second, model.ReasonDeadline},
		"a deadline after the wait bound": {time.Hour, 60 * time.Second, model.ReasonWaitBound},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testDoc(testCell("r1", 1)))
			w := work("run", "a")
			w.Shape = size
			r.run(w)
			w.Key = "waits"
			if c.deadline > 0 {
				w.Deadline = r.now.Add(c.deadline)
			}
			r.submit(w)
			if got := r.later(c.after - time.Millisecond); len(got) > 0 {
				t.Fatalf("early: %+v", got)
			}
			if got := first[Refuse](r, r.later(time.Millisecond)); got.Reason != c.want {
				t.Fatalf("got %s", got.Reason)
			}
		})
	}
}

func TestRefusedEarlyWhenRunsLikeItTakeLonger(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 1)))
	for i := range 20 {
		w := work(fmt.Sprint("k", i), "a")
		w.DeclaredRun = time.Second
		b := r.run(w)
		r.step(Ended{Worker: b.Parts[0].Worker, Ending: platform.Ending{
			Lease: b.Parts[0].Lease, State: platform.EndDone, Ran: 30 * time.Second,
		}})
	}
	w := work("late", "a")
	w.DeclaredRun = time.Second
	w.Deadline = r.now.Add(5 * time.Second)
	if got := first[Refuse](r, r.submit(w)); got.Reason != model.ReasonTooLate {
		t.Fatalf("got %s", got.Reason)
	}
}

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
	r := newRig(t, guaranteed(testDoc(testCell("r1", 1)), "a", 1))
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
	r := newRig(t, guaranteed(testDoc(testCell("r1", 2)), "a", 1))
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

func TestABadWorkerIsSetAsideAndProbed(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 2)))
	bad := model.WorkerID("r1-0")
	aside := false
	for i := 0; i < 40 && !aside; i++ {
		b := r.run(work(fmt.Sprint("k", i), "a"))
		state := platform.EndDone
		if b.Parts[0].Worker == bad {
			state = platform.EndFailed
		}
		if i%2 == 0 && state == platform.EndDone {
			// Keep the good worker busy now and then, so that both are used.
			w := work(fmt.Sprint("hold", i), "a")
			w.Shape = one.Times(7)
			r.submit(w)
		}
		aside = len(all[Alarm](r.end(b, 0, state))) > 0
	}
	if !aside {
		t.Fatal("never set aside")
	}
	r.later(probeFirst)
	r.core.schedule()
	probes := 0
	for i := range 6 {
		w := work(fmt.Sprint("after", i), "a")
		for _, b := range all[Begin](r.submit(w)) {
			if b.Parts[0].Worker == bad {
				probes++
			}
		}
	}
	if probes > 1 {
		t.Fatalf("%d tasks on the worker that is probed", probes)
	}
}

func TestABadJobIsAnsweredAndItsWorkersStay(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 4)))
	w := work("bad", "a")
	w.Idempotent = true
	b := r.run(w)
	workers := make(map[model.WorkerID]bool)
	for range 5 {
		workers[b.Parts[0].Worker] = true
		got := r.end(b, 0, platform.EndFailed)
		if done := all[Complete](got); len(done) > 0 {
			if !done[0].Failed || done[0].Reason != model.ReasonBadJob || len(workers) != badJobWorkers {
				t.Fatalf("%+v after %v", done[0], workers)
			}
			for _, cl := range r.core.Cells() {
				for _, v := range cl.Workers {
					if v.State != stateUp {
						t.Errorf("%s is %s", v.ID, v.State)
					}
				}
			}
			return
		}
		b = first[Begin](r, got)
		r.step(Started{Key: "bad"})
	}
	t.Fatal("never answered")
}

func TestUseOverTheDeclaredSizeIsThrottledCheckpointedAndStopped(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 1)))
	w := work("hog", "a")
	b := r.run(w)
	full := work("rest", "b")
	full.Shape = one.Times(7)
	r.run(full)
	used := one
	used.CPUMilli *= 5
	report := func(at time.Time) []Action {
		return r.step(Used{Lease: b.Parts[0].Lease, Used: used, At: at})
	}
	if c := first[Control](r, report(r.now)); c.Verb != platform.VerbThrottle {
		t.Fatalf("got %s", c.Verb)
	}
	measured := r.now
	r.now = r.now.Add(6 * time.Second)
	if got := report(measured.Add(time.Second)); len(got) > 0 {
		t.Fatalf("a report from before the throttle had time to act counted: %+v", got)
	}
	if c := first[Control](r, report(r.now)); c.Verb != platform.VerbCheckpoint {
		t.Fatalf("got %s", c.Verb)
	}
	if c := first[Control](r, r.later(4*time.Second)); c.Verb != platform.VerbStop {
		t.Fatalf("got %s", c.Verb)
	}
	if done := first[Complete](r, r.end(b, 0, platform.EndStopped)); done.Reason != model.ReasonOverUse {
		t.Fatalf("got %+v", done)
	}
}

func TestUseIsLeftAloneWhereThereIsRoom(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 1)))
	b := r.run(work("hog", "a"))
	used := one
	used.CPUMilli *= 5
	if got := r.step(Used{Lease: b.Parts[0].Lease, Used: used, At: r.now}); len(got) > 0 {
		t.Fatalf("got %+v", got)
	}
}

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

func TestFairShareLetsTheAccountWithLessGoFirst(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 1)))
	var held []Begin
	for i := range 8 {
		held = append(held, r.run(work(fmt.Sprint("a", i), "a")))
	}
	r.submit(work("a-more", "a"))
	r.submit(work("b-first", "b"))
	if got := first[Begin](r, r.end(held[0], 0, platform.EndDone)); got.Work.Key != "b-first" {
		t.Fatalf("began %s", got.Work.Key)
	}
}

func TestAnUnmetGuaranteeAlarmsOnce(t *testing.T) {
	r := newRig(t, guaranteed(testDoc(testCell("r1", 2)), "a", 1))
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

func TestLeaseIDsAreNotUsedAgainByALaterAttempt(t *testing.T) {
	r := newRig(t, guaranteed(testDoc(testCell("r1", 1)), "a", 1))
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

func TestAFloodOfOldWorkDoesNotHoldUpAnotherAccount(t *testing.T) {
	d := testDoc(testCell("r1", 1))
	d.Defaults.LongestWait = config.Duration(time.Hour)
	r := newRig(t, d)
	var held []Begin
	for i := range 8 {
		held = append(held, r.run(work(fmt.Sprint("run", i), "a")))
	}
	for i := range 100 {
		r.submit(work(fmt.Sprint("flood", i), "a"))
	}
	r.later(40 * time.Second)
	r.submit(work("late-comer", "b"))
	if got := first[Begin](r, r.end(held[0], 0, platform.EndDone)); got.Work.Key != "late-comer" {
		t.Fatalf("began %s", got.Work.Key)
	}
}

func TestBatchWorkIsNotHeldUpForEver(t *testing.T) {
	d := testDoc(testCell("r1", 1))
	d.Defaults.LongestWait = config.Duration(time.Hour)
	r := newRig(t, d)
	w := work("run", "a")
	w.Shape = size
	running := r.run(w)
	w.Class = model.ClassBatch
	w.Key = "batch"
	r.submit(w)
	w.Class = model.ClassNormal
	for i := range 200 {
		w.Key = model.Key(fmt.Sprint("normal", i))
		r.submit(w)
		r.later(2 * time.Second)
		running = first[Begin](r, r.end(running, 0, platform.EndDone))
		r.step(Started{Key: running.Work.Key})
		if running.Work.Key == "batch" {
			return
		}
	}
	t.Fatal("batch work never started")
}
