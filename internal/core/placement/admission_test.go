package placement

import (
	"fmt"
	"testing"
	"time"

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
		// alarms are those for large work past its own bound of 20 s.
		alarms int
	}{
		"the longest wait":                {0, 60 * time.Second, model.ReasonWaitBound, 1},
		"a deadline before that":          {10 * time.Second, 10 * time.Second, model.ReasonDeadline, 0},
		"a deadline after the wait bound": {time.Hour, 60 * time.Second, model.ReasonWaitBound, 1},
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
			got := r.later(c.after - time.Millisecond)
			if n := countAlarms(got, AlarmLargeWait); n != c.alarms || len(got) != n {
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
