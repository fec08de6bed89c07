package placement

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

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
