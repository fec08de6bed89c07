package ledger

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/uuid"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

var start = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

// keyAt makes a UUIDv7 of a time.
func keyAt(at time.Time, n byte) model.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	id[6] = 0x70
	id[8] = 0x80
	id[15] = n
	return model.Key(id.String())
}

func testConfig() *config.Versioned {
	return &config.Versioned{Version: 1, Document: config.Document{
		Fleet: config.Fleet{
			KeyGroups: 1, CellsPerGroup: 1, Witnesses: 1,
			Cells: []model.Cell{{ID: "c", Workers: []model.Worker{{ID: "w"}}}},
		},
		Defaults: config.Defaults{
			MaxAttempts:  3,
			KeyRetention: config.Duration(24 * time.Hour),
			CallerSkew:   config.Duration(time.Second),
		},
	}}
}

// bench drives one core and keeps what it did.
type bench struct {
	c   *Core
	now time.Time
	did []Action
}

func newBench() *bench {
	b := &bench{c: New("h"), now: start}
	b.step(Configured{testConfig()})
	b.step(GroupGained{Epoch: 16, Gap: start.Add(-time.Minute)})
	return b
}

func (b *bench) step(ev Event) []Action {
	did := b.c.Step(b.now, ev)
	b.did = append(b.did, did...)
	return did
}

// wait lets time pass in ticks of 100 ms.
func (b *bench) wait(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(100 * time.Millisecond)
		b.step(Tick{})
	}
}

func (b *bench) submit(k model.Key, w Waiter, idempotent bool) {
	b.step(Submitted{Waiter: w, Sum: 7, Work: model.Work{
		Key: k, Account: "a", Idempotent: idempotent, Members: 1, Deadline: b.now.Add(5 * time.Second),
	}})
}

func of[T Action](as []Action) []T {
	var out []T
	for _, a := range as {
		if t, ok := a.(T); ok {
			out = append(out, t)
		}
	}
	return out
}

func (b *bench) sendOne(k model.Key, idempotent bool) Trace {
	b.submit(k, 1, idempotent)
	t := Trace{Worker: "w", Cell: "c", Lease: "l"}
	b.step(Begun{Key: k, Attempt: 1, Parts: []Trace{t}})
	return t
}

func (b *bench) replies(t *testing.T, want ...model.Outcome) {
	t.Helper()
	got := of[Reply](b.did)
	if len(got) != len(want) {
		t.Fatalf("replies: got %+v, want %v", got, want)
	}
	for i, r := range got {
		if r.Result.Outcome != want[i] {
			t.Errorf("reply %d: got %+v, want %s", i, r.Result, want[i])
		}
	}
}

func (b *bench) dispatches(t *testing.T, want int) {
	t.Helper()
	if got := len(of[Dispatch](b.did)); got != want {
		t.Errorf("dispatches: got %d, want %d", got, want)
	}
}

func TestKeys(t *testing.T) {
	k := keyAt(start, 1)
	done := model.Result{Outcome: model.OutcomeDone, Answer: []byte("x")}
	cases := map[string]func(t *testing.T, b *bench){
		"a repeat joins the first attempt and both get its answer": func(t *testing.T, b *bench) {
			b.sendOne(k, false)
			b.submit(k, 2, false)
			b.step(Answered{Key: k, Attempt: 1, Result: done})
			b.submit(k, 3, false)
			b.dispatches(t, 1)
			b.replies(t, "done", "done", "done")
		},
		"the same key with another body is refused": func(t *testing.T, b *bench) {
			b.submit(k, 1, false)
			b.step(Submitted{Waiter: 2, Sum: 8, Work: model.Work{Key: k, Account: "a"}})
			b.replies(t, "not_run")
		},
		"a key from the future is refused": func(t *testing.T, b *bench) {
			b.submit(keyAt(start.Add(time.Minute), 1), 1, false)
			b.replies(t, "not_run")
			b.dispatches(t, 0)
		},
		"a key older than the retention is not run and not called not_run": func(t *testing.T, b *bench) {
			b.submit(keyAt(start.Add(-25*time.Hour), 1), 1, true)
			b.replies(t, "unknown")
			b.dispatches(t, 0)
		},
		"non-idempotent work whose key was made inside a gap is not run": func(t *testing.T, b *bench) {
			b.submit(keyAt(start.Add(-time.Minute), 1), 1, false)
			b.submit("plain", 2, false)
			b.replies(t, "unknown", "unknown")
			b.dispatches(t, 0)
		},
		"a key made inside the gap by a caller whose clock runs ahead is not run": func(t *testing.T, b *bench) {
			b.submit(keyAt(start.Add(-59*time.Second), 1), 1, false)
			b.replies(t, "unknown")
		},
		"idempotent work whose key was made inside a gap is run": func(t *testing.T, b *bench) {
			b.submit(keyAt(start.Add(-time.Minute), 1), 1, true)
			b.dispatches(t, 1)
		},
		"after doubt non-idempotent work is asked about, at once and each second, and never sent again": func(t *testing.T, b *bench) {
			b.sendOne(k, false)
			b.step(Unclear{Key: k, Attempt: 1, Reason: model.ReasonLinkLost})
			b.wait(3 * time.Second)
			b.dispatches(t, 1)
			if n := len(of[Ask](b.did)); n != 4 {
				t.Errorf("asked %d times", n)
			}
		},
		"a barred lease proves that work did not run": func(t *testing.T, b *bench) {
			tr := b.sendOne(k, false)
			b.step(Unclear{Key: k, Attempt: 1, Reason: model.ReasonLinkLost})
			b.step(Settled{Key: k, Attempt: 1, Trace: tr, Clear: true, Barred: true, Since: time.Hour})
			b.replies(t, "not_run")
		},
		"a lease barred by a worker that restarted after the start proves nothing": func(t *testing.T, b *bench) {
			tr := b.sendOne(k, false)
			b.now = b.now.Add(2 * time.Second)
			b.step(Unclear{Key: k, Attempt: 1, Reason: model.ReasonLinkLost})
			b.step(Settled{Key: k, Attempt: 1, Trace: tr, Clear: true, Barred: true, Since: time.Second})
			b.replies(t, "unknown")
			b.dispatches(t, 1)
		},
		"idempotent work is tried again within its attempts": func(t *testing.T, b *bench) {
			b.sendOne(k, true)
			for n := 1; n <= 3; n++ {
				b.step(NotRun{Key: k, Attempt: n, Reason: model.ReasonWorkerLost})
				b.wait(time.Second)
			}
			b.dispatches(t, 3)
			b.replies(t, "not_run")
		},
		"idempotent work whose earlier attempt was unclear is never called not_run": func(t *testing.T, b *bench) {
			b.sendOne(k, true)
			b.step(Unclear{Key: k, Attempt: 1, Reason: model.ReasonLinkLost})
			b.wait(time.Second)
			b.step(NotRun{Key: k, Attempt: 2, Reason: model.ReasonQueueFull})
			b.replies(t, "unknown")
		},
		"waiting work whose deadline passes is withdrawn and did not run": func(t *testing.T, b *bench) {
			b.submit(k, 1, false)
			b.wait(6 * time.Second)
			b.replies(t, "not_run")
			if len(of[Withdraw](b.did)) != 1 {
				t.Error("not withdrawn")
			}
		},
		"sent work whose deadline passes is asked about and then unknown": func(t *testing.T, b *bench) {
			b.sendOne(k, false)
			b.wait(7 * time.Second)
			b.replies(t, "unknown")
			if len(of[Ask](b.did)) == 0 {
				t.Error("not asked")
			}
		},
		"an answer after unknown is what repeats get": func(t *testing.T, b *bench) {
			b.sendOne(k, false)
			b.wait(7 * time.Second)
			b.step(Answered{Key: k, Attempt: 1, Result: done})
			b.submit(k, 2, false)
			b.replies(t, "unknown", "done")
		},
		"a cancel of running work is acknowledged at its end": func(t *testing.T, b *bench) {
			b.sendOne(k, false)
			b.step(Cancelled{Key: k, Account: "a", Waiter: 9})
			if len(of[AnswerCancel](b.did)) != 0 {
				t.Fatal("acknowledged while it runs")
			}
			b.step(NotRun{Key: k, Attempt: 1, Reason: model.ReasonCancelled})
			if a := of[AnswerCancel](b.did); len(a) != 1 || !a[0].Done {
				t.Errorf("got %+v", a)
			}
		},
		"a cancel that comes before its request bars the key": func(t *testing.T, b *bench) {
			b.step(Cancelled{Key: k, Account: "a", Waiter: 9})
			b.submit(k, 1, false)
			b.dispatches(t, 0)
			b.replies(t, "not_run")
		},
		"while holds are lapsed not_run is not said and nothing is dispatched": func(t *testing.T, b *bench) {
			b.submit(k, 1, false)
			b.step(HoldsLapsed{})
			b.step(NotRun{Key: k, Attempt: 1, Reason: model.ReasonQueueFull})
			b.wait(time.Second)
			b.replies(t)
			b.step(GroupGained{Epoch: 16, Gap: start.Add(-time.Minute), Unbroken: true})
			b.replies(t, "not_run")
		},
		"work that was not sent is sent on when another may have owned the group in between": func(t *testing.T, b *bench) {
			b.submit(k, 1, false)
			b.step(HoldsLapsed{})
			b.step(GroupGained{Epoch: 48, Gap: start.Add(-time.Minute)})
			if len(of[Moved](b.did)) != 1 || len(of[Withdraw](b.did)) != 1 {
				t.Errorf("did %+v", b.did)
			}
		},
		"a barred lease of an earlier tenure proves nothing": func(t *testing.T, b *bench) {
			tr := b.sendOne(k, false)
			b.step(GroupLost{})
			f := Found{Worker: "x", Lease: "m", Started: true, Label: platform.Label{Key: k, Account: "a", Members: 1, Attempt: 1}}
			b.step(GroupGained{Epoch: 48, Gap: start.Add(-time.Minute), Found: []Found{f}})
			b.submit(k, 2, false)
			b.step(Settled{Key: k, Attempt: 1, Trace: tr, Clear: true, Barred: true, Since: time.Hour})
			b.replies(t)
			end := &platform.Ending{State: platform.EndDone}
			b.step(Settled{Key: k, Attempt: 1, Trace: Trace{Worker: "x", Lease: "m"}, Clear: true, Ending: end})
			b.replies(t, "done")
		},
		"idempotent work whose key lies in a gap is never called not_run": func(t *testing.T, b *bench) {
			old := keyAt(start.Add(-time.Minute), 1)
			b.submit(old, 1, true)
			b.step(NotRun{Key: old, Attempt: 1, Reason: model.ReasonQueueFull})
			b.replies(t, "unknown")
		},
		"work in placement is dispatched anew when the group's epoch is raised": func(t *testing.T, b *bench) {
			b.submit(k, 1, false)
			b.step(HoldsLapsed{})
			b.step(GroupGained{Epoch: 48, Gap: start.Add(-time.Minute), Unbroken: true})
			ds := of[Dispatch](b.did)
			if len(ds) != 2 || ds[1].GroupEpoch != 48 || ds[1].Attempt != 2 || len(of[Withdraw](b.did)) != 1 {
				t.Errorf("did %+v", b.did)
			}
			b.step(NotRun{Key: k, Attempt: 1, Reason: model.ReasonQueueFull})
			b.replies(t)
		},
		"a not_run told by the log is not repeated": func(t *testing.T, b *bench) {
			o := Recorded{Result: model.Result{Key: k, Outcome: model.OutcomeNotRun}, Account: "a", Sum: 7, At: b.now}
			f := Found{Worker: "w", Lease: "l", Started: true, Label: platform.Label{Key: k, Account: "a", Members: 1, Attempt: 1}}
			b.step(GroupGained{Epoch: 17, Outcomes: []Recorded{o}, Found: []Found{f}, Gap: start.Add(-time.Minute)})
			b.submit(k, 1, false)
			b.replies(t)
		},
		"a recorded not_run is repeated only while the group is held": func(t *testing.T, b *bench) {
			b.submit(k, 1, false)
			b.step(NotRun{Key: k, Attempt: 1, Reason: model.ReasonQueueFull})
			b.step(HoldsLapsed{})
			b.submit(k, 2, false)
			b.replies(t, "not_run")
			if len(of[Moved](b.did)) != 1 {
				t.Error("not sent on")
			}
		},
		"non-idempotent work whose epoch was refused is dispatched anew": func(t *testing.T, b *bench) {
			b.sendOne(k, false)
			b.step(NotRun{Key: k, Attempt: 1, Reason: model.ReasonOwnerLost})
			b.wait(time.Second)
			b.dispatches(t, 2)
			b.replies(t)
		},
		"doubt about an attempt that never began has it dispatched anew": func(t *testing.T, b *bench) {
			b.submit(k, 1, false)
			b.step(Unclear{Key: k, Attempt: 1, Reason: model.ReasonLinkLost})
			if b.c.MayBegin(b.now, k, 1) {
				t.Error("the first attempt may still begin")
			}
			b.wait(time.Second)
			b.dispatches(t, 2)
		},
		"an outcome recorded by an owner that never saw the body fits any body": func(t *testing.T, b *bench) {
			o := Recorded{Result: model.Result{Key: k, Outcome: model.OutcomeDone}, Account: "a", At: b.now}
			b.step(GroupGained{Epoch: 17, Outcomes: []Recorded{o}, Gap: start.Add(-time.Minute)})
			b.submit(k, 1, false)
			b.replies(t, "done")
		},
		"the number of a forgotten attempt is not used again": func(t *testing.T, b *bench) {
			b.sendOne(k, false)
			b.step(HoldsLapsed{})
			b.step(GroupGained{Epoch: 48, Gap: start.Add(-time.Minute)})
			b.submit(k, 2, false)
			if b.c.MayBegin(b.now, k, 1) || !b.c.MayBegin(b.now, k, 2) {
				t.Errorf("did %+v", b.did)
			}
		},
		"a run found late is adopted whatever its attempt's number": func(t *testing.T, b *bench) {
			b.submit(k, 1, false)
			b.step(NotRun{Key: k, Attempt: 1, Reason: model.ReasonOwnerLost})
			b.wait(time.Second)
			f := Found{Worker: "x", Lease: "m", Started: true, Label: platform.Label{Key: k, Account: "a", Members: 1, Attempt: 1}}
			b.step(WorkerJoined{Found: []Found{f}})
			if b.c.MayBegin(b.now, k, 2) {
				t.Error("may begin although it runs")
			}
		},
		"an offer made under another epoch of the group is sent on": func(t *testing.T, b *bench) {
			b.step(Submitted{Waiter: 1, Epoch: 15, Work: model.Work{Key: k, Account: "a"}})
			if m := of[Moved](b.did); len(m) != 1 || m[0].Epoch != 16 {
				t.Errorf("did %+v", b.did)
			}
		},
		"waiters of a lost group are sent to its owner": func(t *testing.T, b *bench) {
			b.sendOne(k, false)
			b.step(GroupLost{})
			b.submit(k, 2, false)
			if n := len(of[Moved](b.did)); n != 2 {
				t.Errorf("moved %d waiters", n)
			}
			b.replies(t)
		},
		"a new owner adopts what it finds running": func(t *testing.T, b *bench) {
			f := Found{Worker: "w", Lease: "l", Started: true, Label: platform.Label{Key: k, Account: "a", Members: 1, Attempt: 1}}
			b.step(GroupGained{Epoch: 17, Gap: start.Add(-time.Minute), Found: []Found{f}})
			b.submit(k, 1, false)
			b.dispatches(t, 0)
			f.Ending = &platform.Ending{State: platform.EndDone, Answer: []byte("x")}
			b.step(Settled{Key: k, Attempt: 1, Trace: Trace{Worker: "w", Lease: "l"}, Clear: true, Ending: f.Ending})
			b.replies(t, "done")
		},
		"a new owner answers from outcomes on the log": func(t *testing.T, b *bench) {
			o := Recorded{Result: model.Result{Key: k, Outcome: model.OutcomeDone}, Account: "a", Sum: 7, At: b.now}
			b.step(GroupGained{Epoch: 17, Outcomes: []Recorded{o}, Gap: start.Add(time.Hour)})
			b.submit(k, 1, false)
			b.replies(t, "done")
			b.dispatches(t, 0)
		},
		"an outcome dropped for room leaves a gap that keeps its key from running": func(t *testing.T, b *bench) {
			b.c.keepKeys = 0
			b.sendOne(k, false)
			b.step(Answered{Key: k, Attempt: 1, Result: done})
			b.wait(time.Second)
			b.submit(k, 2, false)
			b.replies(t, "done", "unknown")
			b.dispatches(t, 1)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(t, newBench()) })
	}
}
