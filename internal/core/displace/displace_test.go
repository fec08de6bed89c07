package displace

import (
	"testing"
	"time"
)

const s = time.Second

func TestGangMayDisplace(t *testing.T) {
	for name, c := range map[string]struct {
		gang Gang
		want bool
	}{
		"it has just arrived":            {Gang{Waited: s, TimeLeft: 5 * s, Estimate: 7 * s}, false},
		"it has waited and has slack":    {Gang{Waited: 2 * s, TimeLeft: 16 * s, Estimate: 7 * s}, false},
		"it has waited and has no slack": {Gang{Waited: 2 * s, TimeLeft: 14 * s, Estimate: 7 * s}, true},
		"it is late already":             {Gang{Waited: 20 * s, TimeLeft: -5 * s, Estimate: 7 * s}, true},
	} {
		if got := c.gang.MayDisplace(); got != c.want {
			t.Errorf("%s: may displace %v", name, got)
		}
	}
}

func TestGangJustifiesLossOfAPartOfItsOwnWork(t *testing.T) {
	g := Gang{CoreSeconds: 1000}
	if !g.JustifiesLoss(0) || !g.JustifiesLoss(250) || g.JustifiesLoss(251) {
		t.Errorf("0: %v, 250: %v, 251: %v", g.JustifiesLoss(0), g.JustifiesLoss(250), g.JustifiesLoss(251))
	}
}

func TestRunHasSlack(t *testing.T) {
	for name, c := range map[string]struct {
		run  Run
		want bool
	}{
		"it can be started again":     {Run{TimeLeft: 13 * s, Objective: 20 * s, Estimate: 6 * s}, true},
		"it would be late":            {Run{TimeLeft: 12 * s, Objective: 20 * s, Estimate: 6 * s}, false},
		"it is late":                  {Run{TimeLeft: -10 * s, Objective: 20 * s, Estimate: 6 * s}, false},
		"its completion is of no use": {Run{TimeLeft: -41 * s, Objective: 20 * s, Estimate: 6 * s}, true},
	} {
		if got := c.run.HasSlack(); got != c.want {
			t.Errorf("%s: slack %v", name, got)
		}
	}
}
