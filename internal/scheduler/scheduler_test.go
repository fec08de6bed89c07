package scheduler_test

import (
	"sync"
	"testing"
	"time"

	"coltsfootmux/internal/model"
)

func TestWorkIsRunOnceAndAnsweredWhole(t *testing.T) {
	r := newRig(t, 3)
	r.warm()
	for _, idempotent := range []bool{true, false} {
		w := work(20*time.Millisecond, idempotent)
		got := r.submit(w)
		if got.Outcome != model.OutcomeDone || got.Failed || len(got.Answer) != 100 {
			t.Fatalf("idempotent %v: got %s %s with %d bytes", idempotent, got.Outcome, got.Reason, len(got.Answer))
		}
		if n := r.runs(w.Key); n != 1 {
			t.Fatalf("idempotent %v: ran %d times", idempotent, n)
		}
	}
}

func TestRepeatsJoinTheFirstAttempt(t *testing.T) {
	r := newRig(t, 2)
	r.warm()
	w := work(300*time.Millisecond, false)
	var wg sync.WaitGroup
	for range 5 {
		wg.Go(func() {
			if got := r.submit(w); got.Outcome != model.OutcomeDone {
				t.Errorf("got %s %s", got.Outcome, got.Reason)
			}
		})
	}
	wg.Wait()
	if n := r.runs(w.Key); n != 1 {
		t.Fatalf("ran %d times", n)
	}
}

func TestGangRunsWhole(t *testing.T) {
	r := newRig(t, 1)
	w := work(50*time.Millisecond, true)
	w.Members, w.Shape.Accelerators, w.Adjacency = 8, 4, model.AdjacentRack
	if got := r.submit(w); got.Outcome != model.OutcomeDone || got.Failed {
		t.Fatalf("got %s %s", got.Outcome, got.Reason)
	}
	if n := r.runs(w.Key); n != 8 {
		t.Fatalf("%d members ran", n)
	}
}

func TestOwnersDeathLosesAndDoublesNothing(t *testing.T) {
	r := newRig(t, 3)
	r.warm()
	var wg sync.WaitGroup
	var works []model.Work
	for i := range 60 {
		works = append(works, work(50*time.Millisecond, i%2 == 0))
	}
	for i, w := range works {
		if i == 20 {
			r.members[0].kill()
		}
		wg.Go(func() {
			got := r.submit(w)
			if got.Outcome == model.OutcomeNotRun && r.runs(w.Key) > 0 {
				t.Errorf("%s: told not_run, and ran", w.Key)
			}
		})
	}
	wg.Wait()
	for _, w := range works {
		if n := r.runs(w.Key); n > 1 && !w.Idempotent {
			t.Errorf("%s ran %d times:%s", w.Key, n, r.story(w.Key))
		}
	}
}

func TestDrainHandsOverWithoutAGap(t *testing.T) {
	r := newRig(t, 2)
	r.warm()
	var wg sync.WaitGroup
	var works []model.Work
	for i := range 40 {
		works = append(works, work(40*time.Millisecond, i%2 == 0))
	}
	for i, w := range works {
		if i == 10 {
			if err := r.members[0].sched.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		wg.Go(func() {
			if got := r.submit(w); got.Outcome != model.OutcomeDone {
				t.Errorf("%s: %s %s", w.Key, got.Outcome, got.Reason)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	for _, w := range works {
		if n := r.runs(w.Key); n != 1 && !w.Idempotent {
			t.Errorf("%s ran %d times:%s", w.Key, n, r.story(w.Key))
		}
	}
}

func TestDrainWithoutASuccessorEndsAtOnce(t *testing.T) {
	r := newRig(t, 1)
	r.warm()
	if err := r.members[0].sched.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
}
