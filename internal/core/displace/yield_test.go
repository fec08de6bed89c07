package displace

import (
	"testing"
	"time"
)

func TestGangClaimsRoomOfAFullPoolOnceItHasWaited(t *testing.T) {
	for name, c := range map[string]struct {
		waited time.Duration
		use    float64
		want   bool
	}{
		"it has just arrived":         {s, 1, false},
		"it has waited":               {2 * s, 0.9, true},
		"the pool has room for both":  {20 * s, 0.5, false},
		"the pool is mostly in use":   {2 * s, 0.6, true},
		"it has just come to an idle": {0, 0, false},
	} {
		if got := (Gang{Waited: c.waited}).ClaimsRoom(c.use); got != c.want {
			t.Errorf("%s: claims room %v", name, got)
		}
	}
}

func TestWorkLeavesRoomWhileItCanStillStartInTime(t *testing.T) {
	for name, c := range map[string]struct {
		work     Work
		runTimes float64
		want     bool
	}{
		"it has time for more than two runs": {Work{TimeLeft: 13 * s, RunTime: 6 * s}, 2, true},
		"it has time for two runs":           {Work{TimeLeft: 12 * s, RunTime: 6 * s}, 2, false},
		"it is late":                         {Work{TimeLeft: -s, RunTime: 6 * s}, 2, false},
		"switched off":                       {Work{TimeLeft: 90 * s, RunTime: 6 * s}, 0, false},
	} {
		if got := c.work.LeavesRoom(c.runTimes); got != c.want {
			t.Errorf("%s: leaves room %v", name, got)
		}
	}
}
