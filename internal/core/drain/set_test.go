package drain

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestSnapshot(t *testing.T) {
	for name, c := range map[string]struct {
		known, snapshot []Record
		end             int64
		want            []string
	}{
		"a drain is read":                           {nil, []Record{{"a", 3, true}}, 9, []string{"a"}},
		"a drain that is missing was taken back":    {[]Record{{"a", 3, true}}, nil, 9, nil},
		"an older snapshot does not take back":      {[]Record{{"a", 12, true}}, nil, 9, []string{"a"}},
		"an older snapshot does not drain":          {[]Record{{"a", 12, false}}, []Record{{"a", 3, true}}, 9, nil},
		"data centres are independent of others":    {[]Record{{"a", 3, true}}, []Record{{"a", 3, true}, {"b", 5, true}}, 9, []string{"a", "b"}},
		"a record appended meanwhile counts":        {[]Record{{"a", 3, true}}, []Record{{"a", 11, true}}, 9, []string{"a"}},
		"one that was set again later stays in use": {[]Record{{"a", 3, false}}, []Record{{"a", 7, true}}, 9, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Set{}
			for _, r := range c.known {
				s.Apply(r)
			}
			s.ApplySnapshot(c.snapshot, c.end)
			if got := s.Drained(); !slices.Equal(got, c.want) {
				t.Errorf("drained: %v, want %v", got, c.want)
			}
		})
	}
}

// TestAnyOrderLeadsToTheSameState checks that records, repeats of them and old snapshots
// end in the state of the newest record, in whichever order they arrive.
func TestAnyOrderLeadsToTheSameState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var history []Record
		var want Set
		for offset := range rapid.Int64Range(1, 20).Draw(rt, "records") {
			r := Record{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "data centre"), offset, rapid.Bool().Draw(rt, "drained")}
			history = append(history, r)
			want.Apply(r)
		}
		got := Set{}
		for _, n := range rapid.SliceOf(rapid.IntRange(0, len(history)-1)).Draw(rt, "arrivals") {
			if rapid.Bool().Draw(rt, "snapshot") {
				got.ApplySnapshot(snapshotOf(history[:n+1]), int64(n+1))
				continue
			}
			got.Apply(history[n])
		}
		for _, r := range rapid.Permutation(history).Draw(rt, "rest") {
			got.Apply(r)
		}
		if !slices.Equal(got.Drained(), want.Drained()) {
			rt.Fatalf("drained: %v, want %v", got.Drained(), want.Drained())
		}
	})
}

// snapshotOf returns what the store's newest records are after a history: those of data
// centres that are drained.
func snapshotOf(history []Record) []Record {
	newest := Set{}
	for _, r := range history {
		newest.Apply(r)
	}
	return slices.DeleteFunc(newest.Records(), func(r Record) bool { return !r.Drained })
}
