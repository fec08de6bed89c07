package experiment

import (
	"os"
	"reflect"
	"testing"

	"golang.org/x/sync/errgroup"

	"coltsfootmux/internal/core/placement"
)

// TestPolicies prints the comparison when COLTSFOOTMUX_EXPERIMENT is set.
func TestPolicies(t *testing.T) {
	if os.Getenv("COLTSFOOTMUX_EXPERIMENT") == "" {
		t.Skip("the whole comparison is run by hand and by coltsfootmux-load")
	}
	type pair struct {
		trace  Trace
		policy placement.Policy
	}
	var runs []pair
	for _, tr := range Traces() {
		for _, p := range Policies() {
			runs = append(runs, pair{trace: tr, policy: p})
		}
	}
	rs := make([]Result, len(runs))
	var g errgroup.Group
	g.SetLimit(3)
	for i, r := range runs {
		g.Go(func() error {
			rs[i] = Run(r.trace, r.policy)
			return nil
		})
	}
	_ = g.Wait()
	Table(os.Stdout, rs)
	Targets(os.Stdout, rs)
}

func TestARunIsTheSameEachTime(t *testing.T) {
	tr := LargeBursts(SeedLargeBursts)
	a := Run(tr, placement.Standard())
	b := Run(LargeBursts(SeedLargeBursts), placement.Standard())
	if !reflect.DeepEqual(a, b) {
		t.Fatalf("two runs differ:\n%+v\n%+v", a, b)
	}
}

func TestPromisesHoldAfterEveryStep(t *testing.T) {
	for _, tr := range []Trace{LargeBursts(SeedLargeBursts), SmallBursts(SeedSmallBursts)} {
		t.Run(tr.Name, func(t *testing.T) {
			if _, err := runChecked(tr, placement.Standard(), (*placement.Core).Verify); err != nil {
				t.Fatal(err)
			}
		})
	}
}
