package term

import (
	"testing"
	"time"

	"coltsfootmux/internal/core/capacity"
)

func TestTermIsRequestedFromAnOwnerWithRank(t *testing.T) {
	const strongest, near, half, quarter, weakest = capacity.Strongest, 90, 101, 240, 400
	for name, c := range map[string]struct {
		own, owner capacity.Rank
		ownerDelay time.Duration
		want       bool
	}{
		"the strongest from one half as strong":           {strongest, half, 400 * time.Millisecond, true},
		"the strongest from one nearly as strong":         {strongest, near, 400 * time.Millisecond, false},
		"the strongest from another":                      {strongest, strongest, 0, false},
		"a middle one from one that is clearly weaker":    {half, quarter, 400 * time.Millisecond, true},
		"a middle one from one nearly as strong":          {half, 200, 400 * time.Millisecond, false},
		"a weak one from a stronger one":                  {quarter, strongest, 0, false},
		"the weakest, which reads late, from one weaker":  {300, weakest, 800 * time.Millisecond, false},
		"the strongest from an earlier version's, weak":   {strongest, 0, 640 * time.Millisecond, true},
		"the strongest from an earlier version's, strong": {strongest, 0, 0, false},
		"a middle one from an earlier version's, weak":    {half, 0, 640 * time.Millisecond, false},
		"one without a rank from a weak one":              {0, half, 400 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := DefaultSettings()
			core := New(s, "node-1/1", "10.0.0.1:1")
			if c.own.Known() {
				core.Step(0, Ranked{Rank: c.own})
			}
			core.Step(0, ReadResult{End: 1, Records: []Record{{Term: 1, Owner: "node-2/1", Addr: "10.0.0.2:1", ClaimDelay: c.ownerDelay, Rank: c.owner}}})
			requested := false
			for now := time.Duration(0); now < s.MinTenure+3*time.Second; now += 50 * time.Millisecond {
				for _, a := range core.Step(now, Tick{AllTopicsReachable: true}) {
					_, yield := a.(RequestYield)
					requested = requested || yield
				}
			}
			if requested != c.want {
				t.Errorf("requested: %v, want %v", requested, c.want)
			}
		})
	}
}
