package job

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestIntervalsHoldWhatWasAdded guards against numbers that are lost or added as intervals are joined.
func TestIntervalsHoldWhatWasAdded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var s Intervals
		want := make(map[int]bool)
		for _, n := range rapid.SliceOf(rapid.IntRange(0, 60)).Draw(rt, "numbers") {
			s.Add(n)
			want[n] = true
		}
		var have []int
		for n := range s.All() {
			have = append(have, n)
		}
		if !slices.IsSorted(have) || len(have) != len(want) || s.Count() != len(want) {
			rt.Fatalf("%v for %v", s, want)
		}
		for n := range 62 {
			if s.Has(n) != want[n] {
				rt.Fatalf("%d is in %v: %v", n, s, s.Has(n))
			}
		}
		for n := 1; n < len(s); n++ {
			if s[n-1].Last+1 >= s[n].First {
				rt.Fatalf("not joined: %v", s)
			}
		}
	})
}
