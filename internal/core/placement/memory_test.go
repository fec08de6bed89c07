package placement

import (
	"fmt"
	"testing"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

func TestACancelWaveLeavesNoTimersBehind(t *testing.T) {
	d := testDoc(testCell("r1", 1))
	d.Defaults.LongestWait = config.Duration(12 * time.Hour)
	d.Defaults.QueueBound = 100000
	r := newRig(t, d)
	w := work("run", "a")
	w.Shape = size
	r.run(w)
	for i := range 20000 {
		w.Key = model.Key(fmt.Sprint("k", i))
		r.core.Step(r.now, Submitted{Work: w, Attempt: 1})
		r.core.Step(r.now, Cancelled{Key: w.Key})
	}
	if n := len(r.core.timers); n > 2*timersLeast {
		t.Fatalf("%d timers for %d waiting jobs", n, r.core.Waiting())
	}
}

func TestKindsNamedByCallersAreBounded(t *testing.T) {
	r := newRig(t, testDoc(testCell("r1", 1)))
	for i := range 2 * kindsMost {
		w := work("k", "a")
		w.Kind = model.Kind(fmt.Sprint("kind", i))
		r.core.stats(&w)
	}
	// One account was used: its further kinds share one name.
	if n := len(r.core.kinds); n > kindsMost+1 {
		t.Fatalf("%d kinds", n)
	}
}
