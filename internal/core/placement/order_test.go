package placement

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

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
