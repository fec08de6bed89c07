package experiment

import (
	"os"
	"reflect"
	"testing"

	"coltsfootmux/internal/core/placement"
)

// TestPolicies prints the comparison when COLTSFOOTMUX_EXPERIMENT is set.
func TestPolicies(t *testing.T) {
	if os.Getenv("COLTSFOOTMUX_EXPERIMENT") == "" {
		t.Skip("the whole comparison is run by hand and by coltsfootmux-load")
	}
	var rs []Result
	for _, tr := range Traces() {
		for _, p := range Policies() {
			rs = append(rs, Run(tr, p))
		}
	}
	Table(os.Stdout, rs)
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
