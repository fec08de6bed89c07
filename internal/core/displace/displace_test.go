package displace

import (
	"testing"
	"time"
)

const s = time.Second

func TestGangIsPressed(t *testing.T) {
	for name, c := range map[string]struct {
		gang Gang
		want bool
	}{
		"it has just come":                  {Gang{Waited: s, Left: 5 * s, Estimate: 7 * s}, false},
		"it has waited and has slack":       {Gang{Waited: 2 * s, Left: 16 * s, Estimate: 7 * s}, false},
		"it has waited and has little left": {Gang{Waited: 2 * s, Left: 14 * s, Estimate: 7 * s}, true},
		"it is late already":                {Gang{Waited: 20 * s, Left: -5 * s, Estimate: 7 * s}, true},
	} {
		if got := c.gang.IsPressed(); got != c.want {
			t.Errorf("%s: pressed %v", name, got)
		}
	}
}

func TestGangIsWorthAPartOfItsOwnWork(t *testing.T) {
	g := Gang{Work: 1000}
	if !g.IsWorth(0) || !g.IsWorth(250) || g.IsWorth(251) {
		t.Errorf("0: %v, 250: %v, 251: %v", g.IsWorth(0), g.IsWorth(250), g.IsWorth(251))
	}
}

func TestRunHasSlack(t *testing.T) {
	for name, c := range map[string]struct {
		run  Run
		want bool
	}{
		"it can be started again":      {Run{Left: 13 * s, Objective: 20 * s, Estimate: 6 * s}, true},
		"it would be late":             {Run{Left: 12 * s, Objective: 20 * s, Estimate: 6 * s}, false},
		"it is late":                   {Run{Left: -10 * s, Objective: 20 * s, Estimate: 6 * s}, false},
		"nobody has use for it longer": {Run{Left: -41 * s, Objective: 20 * s, Estimate: 6 * s}, true},
	} {
		if got := c.run.HasSlack(); got != c.want {
			t.Errorf("%s: slack %v", name, got)
		}
	}
}
