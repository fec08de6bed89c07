package queue

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestOrderOfWaitingWork(t *testing.T) {
	for name, c := range map[string]struct{ first, second Rank }{
		"guaranteed work goes before urgent work beyond it": {
			Rank{Entitled: true, DeadlineMS: 9}, Rank{DeadlineMS: 1},
		},
		"a higher priority goes before an earlier deadline": {
			Rank{Priority: 1, DeadlineMS: 9}, Rank{Priority: 2, DeadlineMS: 1},
		},
		"stale work comes last in its own priority": {
			Rank{Priority: 1, DeadlineMS: 9}, Rank{Priority: 1, Stale: true, DeadlineMS: 1},
		},
		"stale work goes before a lower priority": {
			Rank{Priority: 1, Stale: true}, Rank{Priority: 2},
		},
		"guaranteed work goes first whatever its account uses": {
			Rank{Entitled: true, Overuse: 9}, Rank{DeadlineMS: 1},
		},
		"work of an account over its share comes last in its own priority": {
			Rank{Priority: 1, Stale: true, DeadlineMS: 9}, Rank{Priority: 1, Overuse: 4, DeadlineMS: 1},
		},
		"work of an account over its share goes before a lower priority": {
			Rank{Priority: 1, Overuse: 4}, Rank{Priority: 2},
		},
		"of accounts over their share the one that uses less goes first": {
			Rank{Overuse: 4, Stale: true, DeadlineMS: 9}, Rank{Overuse: 5, DeadlineMS: 1},
		},
		"the earlier deadline goes first": {
			Rank{DeadlineMS: 1, Arrival: 2}, Rank{DeadlineMS: 2, Arrival: 1},
		},
		"of equal work the earlier job goes first": {
			Rank{Arrival: 1}, Rank{Arrival: 2},
		},
	} {
		if c.first.Compare(c.second) >= 0 || c.second.Compare(c.first) <= 0 {
			t.Errorf("%s: %d and %d", name, c.first.Compare(c.second), c.second.Compare(c.first))
		}
	}
}

func TestOrderIsTotal(t *testing.T) {
	rank := rapid.Custom(func(t *rapid.T) Rank {
		return Rank{
			Entitled: rapid.Bool().Draw(t, "entitled"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			Overuse: rapid.SampledFrom([]float64{0, 4, 5}).Draw(t, "overuse"),
			Stale:   rapid.Bool().Draw(t, "stale"), DeadlineMS: rapid.Int64Range(0, 3).Draw(t, "deadline"),
			Arrival: rapid.IntRange(0, 3).Draw(t, "arrival"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		rs := rapid.SliceOfN(rank, 3, 3).Draw(t, "ranks")
		a, b, c := rs[0], rs[1], rs[2]
		if a.Compare(b) != -b.Compare(a) {
			t.Fatalf("%+v and %+v: %d, %d", a, b, a.Compare(b), b.Compare(a))
		}
		if a.Compare(b) <= 0 && b.Compare(c) <= 0 && a.Compare(c) > 0 {
			t.Fatalf("order of %+v, %+v, %+v is not transitive", a, b, c)
		}
		slices.SortFunc(rs, Rank.Compare)
	})
}
