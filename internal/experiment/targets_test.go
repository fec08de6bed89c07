package experiment

import (
	"strings"
	"testing"
	"time"

	"coltsfootmux/internal/core/placement"
)

// TestBoundsHoldOnEveryTrace holds the standard policy to the bounds of the
// configuration: reclaim, urgent starts and large work.
func TestBoundsHoldOnEveryTrace(t *testing.T) {
	for _, tr := range Traces() {
		t.Run(tr.Name, func(t *testing.T) {
			t.Parallel()
			r := Run(tr, placement.Standard())
			d := tr.Doc.Defaults
			if r.ReclaimP99 > d.ReclaimWithin.D() {
				t.Errorf("p99 reclaim %v, bound %v", r.ReclaimP99, d.ReclaimWithin.D())
			}
			if r.UrgentMax > d.UrgentWait.D() {
				t.Errorf("urgent work waited %v, bound %v", r.UrgentMax, d.UrgentWait.D())
			}
			if r.LargeLate > 0 {
				t.Errorf("%d large jobs late", r.LargeLate)
			}
			done := r.All.Done
			for _, n := range r.Refused {
				done += n
			}
			for _, n := range r.Failed {
				done += n
			}
			if done != len(tr.Jobs) {
				t.Errorf("%d of %d jobs answered", done, len(tr.Jobs))
			}
		})
	}
}

func TestTablesNameEachRun(t *testing.T) {
	rs := []Result{
		{Trace: "t1", Policy: "standard", All: Figures{Mean: 2 * time.Second}, Fragmentation: 0.2, LargeLate: 7},
		{Trace: "t1", Policy: BestFit().Name, All: Figures{Mean: 4 * time.Second}, Fragmentation: 0.4},
		{Trace: "t1", Policy: FirstCome().Name, All: Figures{Mean: 8 * time.Second}, Groups: []Figures{{Name: "small"}}},
	}
	var runs, targets strings.Builder
	Table(&runs, rs)
	Targets(&targets, rs)
	for _, want := range []string{"standard", "best-fit", "first-come", "small"} {
		if !strings.Contains(runs.String(), want) {
			t.Errorf("no %s in\n%s", want, runs.String())
		}
	}
	// Both quotients of the standard policy are a half.
	if strings.Count(targets.String(), "0.50") != 2 {
		t.Errorf("got\n%s", targets.String())
	}
}
