package cellplay

import "testing"

// TestGangsOfAnOwnerShortOfTimeStartAsAWhole guards against members of a gang that run alone: at an eighth
// of the processor time that the load needs, the starts of one gang were spread over seconds.
func TestGangsOfAnOwnerShortOfTimeStartAsAWhole(t *testing.T) {
	for _, speed := range []float64{fullSpeed / 8, fullSpeed / 12} {
		r := Simulate(slowOwnerTrace(0, speed), Rankings()[0])
		if r.IncompleteGangs > 0 || len(r.Violations) > 0 {
			t.Errorf("speed %.3f: %d members ran alone, violations %v", speed, r.IncompleteGangs, r.Violations)
		}
	}
}
