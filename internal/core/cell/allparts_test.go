package cell

import "testing"

// Guards against decisions about speeds, interference, gangs and shares that are safe
// alone and break an invariant together, under random faults.
func TestInvariantsHoldWithAllParts(t *testing.T) {
	for seed := range uint64(randomScenarios) {
		o := scenario{
			drains: seed%2 == 0, crashes: seed%3 == 0,
			prepare: func(s *simulation) {
				s.settings.WorkerSpeedRatio = 1.2
				s.settings.InterferenceSlowdown = 1.1
				s.settings.AccountOveruse = 1.5
				s.settings.GangYieldRunTimes = 2
			},
		}
		if seed%5 == 0 {
			o.unreadRate = 0.4
		}
		if err := runRandomScenario(t, 7000+seed, o); err != "" {
			t.Fatal(err)
		}
	}
}
