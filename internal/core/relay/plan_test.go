package relay

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// members returns n members of a region, every third of them capable.
func members(region string, n int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{Addr: fmt.Sprintf("%s-%d", region, i), Region: region, Capable: i%3 == 0}
	}
	return out
}

func TestChoose(t *testing.T) {
	large := members("a", 20)
	for name, c := range map[string]struct {
		self   Member
		others []Member
		direct bool
	}{
		"a small region reads from the store":             {Member{Addr: "x", Region: "a"}, members("a", maxDirectReaders-1), true},
		"a region without capable members does":           {Member{Addr: "x", Region: "a"}, slices.DeleteFunc(members("a", 20), func(m Member) bool { return m.Capable }), true},
		"an instance of an unknown region does":           {Member{Addr: "x"}, large, true},
		"members of other regions don't count":            {Member{Addr: "x", Region: "b"}, large, true},
		"members of an unknown region don't count":        {Member{Addr: "x", Region: "a"}, members("", 20), true},
		"an instance of a large region asks the relays":   {Member{Addr: "x", Region: "a"}, large, false},
		"repeated members and self count once":            {Member{Addr: "a-1", Region: "a"}, append(members("a", 4), members("a", 4)...), true},
		"a weak instance never becomes a relay by itself": {Member{Addr: "a-1", Region: "a"}, large, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := Choose(c.self, c.others)
			if p.Direct != c.direct || p.Relay || c.direct != (len(p.Relays) == 0) {
				t.Errorf("%+v, want direct %v", p, c.direct)
			}
		})
	}
}

// Instances that chose differently would ask members that read from no store.
func TestMembersWithTheSameListAgreeOnTheRelays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := members("a", rapid.IntRange(maxDirectReaders+1, 400).Draw(rt, "members"))
		var direct []string
		asked := map[string]bool{}
		for _, m := range all {
			p := Choose(m, all)
			if p.Direct {
				direct = append(direct, m.Addr)
				if !p.Relay || !m.Capable {
					rt.Fatalf("%s reads from the store, but is no relay: %+v", m.Addr, p)
				}
			}
			for _, r := range p.Relays {
				asked[r] = true
			}
		}
		if len(direct) < minRelays || len(direct) > minRelays+len(all)/instancesPerRelay {
			rt.Errorf("%d of %d read from the store", len(direct), len(all))
		}
		for _, d := range direct {
			delete(asked, d)
		}
		if len(asked) > 0 {
			rt.Errorf("asked, but not reading from the store: %v", asked)
		}
	})
}

func TestOneMemberLessChangesFewRelays(t *testing.T) {
	all := members("a", 60)
	self := Member{Addr: "a-1", Region: "a"}
	before := Choose(self, all).Relays
	for n := range all {
		after := Choose(self, slices.Delete(slices.Clone(all), n, n+1)).Relays
		kept := 0
		for _, r := range after {
			if slices.Contains(before, r) {
				kept++
			}
		}
		if kept < len(before)-1 {
			t.Errorf("without %s only %d of %d relays stay", all[n].Addr, kept, len(before))
		}
	}
}
