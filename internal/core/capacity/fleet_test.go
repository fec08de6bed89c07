package capacity

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// machines of three classes.
var strong, middle, weak = Machine{0.8, 200, 536}, Machine{0.48, 10, 424}, Machine{0.144, 10, 144}

func (m Machine) scaled(by float64) Machine {
	m.Cores *= by
	return m
}

// TestMachinesOfEachClassClaimInTurn guards against a machine of 0.48 cores and a narrow link that claims
// as early as the strong ones, and against a fleet in which all lie below a limit.
func TestMachinesOfEachClassClaimInTurn(t *testing.T) {
	for _, scale := range []float64{1, 0.1, 0.01, 20} {
		f := NewFleet([]Machine{weak.scaled(scale), strong.scaled(scale), middle.scaled(scale)})
		s, m, w := f.Rank(strong.scaled(scale)), f.Rank(middle.scaled(scale)), f.Rank(weak.scaled(scale))
		if s != Strongest || s.ClaimDelay() != 0 || m.ClaimDelay() != claimStep || w.ClaimDelay() != MaxClaimDelay {
			t.Errorf("scale %v: ranks %d, %d, %d", scale, s, m, w)
		}
		if !w.IsHalfOf(m) || !m.IsHalfOf(s) || s.IsHalfOf(m) {
			t.Errorf("scale %v: halves", scale)
		}
	}
}

func TestMachinesThatAreNotKnownHaveNoRank(t *testing.T) {
	f := NewFleet([]Machine{strong, {}, {Cores: math.NaN()}, {Cores: math.Inf(1)}, {Cores: -1}})
	for _, m := range []Machine{{}, {Cores: math.NaN()}, {Cores: math.Inf(1)}, {Cores: -1}} {
		if r := f.Rank(m); r.Known() || r.ClaimDelay() != 0 {
			t.Errorf("%v has rank %d", m, r)
		}
	}
	if r := f.Rank(Machine{Cores: 0.8}); r != Strongest {
		t.Errorf("a machine of which only the processor is known has rank %d", r)
	}
	if NewFleet(nil).Rank(strong).Known() {
		t.Error("a machine is ranked in an empty fleet")
	}
}

func TestRanksOfFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Machine {
			return Machine{
				Cores:    rapid.Float64Range(0.001, 64).Draw(t, "cores"),
				LinkMbps: float64(rapid.IntRange(0, 10000).Draw(t, "link")),
				MemoryMB: float64(rapid.IntRange(0, 1<<16).Draw(t, "memory")),
			}
		}), 1, 20).Draw(t, "machines")
		f := NewFleet(all)
		strongest := 0
		for _, m := range all {
			r := f.Rank(m)
			if r < Strongest || r.ClaimDelay() > MaxClaimDelay {
				t.Fatalf("%v has rank %d", m, r)
			}
			if r == Strongest {
				strongest++
			}
		}
		if strongest == 0 {
			t.Fatal("no machine is the strongest")
		}
	})
}

func TestLoneClaimDelay(t *testing.T) {
	for cores, want := range map[float64]time.Duration{0: 0, 0.1: 750 * time.Millisecond, 0.2: 500 * time.Millisecond, 0.4: 0, 8: 0} {
		if got := (Machine{Cores: cores}).LoneClaimDelay(); got != want {
			t.Errorf("%v cores: %v, want %v", cores, got, want)
		}
	}
}
