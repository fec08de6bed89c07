package modelcheck

import (
	"math/rand/v2"
	"testing"
)

// TestCoresMatchSpecificationOnRandomWalks executes random walks through the
// specification in the cores as well.
func TestCoresMatchSpecificationOnRandomWalks(t *testing.T) {
	rng := rand.New(rand.NewPCG(20261203, 4))
	k := KeySpec{
		WaitTicks: 3, MaxTicks: 12, MaxRestarts: 3, MaxCrashes: 1, MaxDelayedHolds: 2, SecondClaim: true, HostPauses: true, LostAnswers: true,
	}
	steps := 0
	for range 2000 {
		r := newReplay(t, k)
		for range 120 {
			a, ok := randomAction(rng, k, r.state)
			if !ok {
				break
			}
			r.do(a)
			steps++
		}
	}
	t.Logf("2000 walks, %d steps", steps)
}

// randomAction chooses the kind of action first, so that ticks are not rare.
func randomAction(rng *rand.Rand, k KeySpec, s KeyState) (Action, bool) {
	byKind := make(map[ActionKind][]Action)
	var kinds []ActionKind
	k.eachAction(s, func(a Action) {
		if k.Do(s, a) == s {
			return
		}
		if byKind[a.Kind] == nil {
			kinds = append(kinds, a.Kind)
		}
		byKind[a.Kind] = append(byKind[a.Kind], a)
	})
	if len(kinds) == 0 {
		return Action{}, false
	}
	as := byKind[kinds[rng.IntN(len(kinds))]]
	return as[rng.IntN(len(as))], true
}

// TestCoresMatchSpecificationInEachScenario replays a shortest trace to each
// scenario in the cores.
func TestCoresMatchSpecificationInEachScenario(t *testing.T) {
	k := KeySpec{WaitTicks: 3, MaxTicks: 3, SecondClaim: true}
	report := Explore(k, 250_000)
	for _, scenario := range KeyScenarios {
		trace := report.ScenarioTraces[scenario]
		if scenario == ScenarioForgottenRun {
			k.MaxRestarts = 1
			trace = traceToForgottenRun(k)
		}
		if len(trace) == 0 {
			t.Errorf("no trace found to scenario: %s", scenario)
		}
		r := newReplay(t, k)
		for _, a := range trace {
			r.do(a)
		}
		reached := false
		k.Scenarios(r.state, func(hit string) { reached = reached || hit == scenario })
		if !reached {
			t.Errorf("replayed, but not in scenario: %s", scenario)
		}
	}
}

// traceToForgottenRun returns a trace to ScenarioForgottenRun, which is too deep for
// a short exploration.
func traceToForgottenRun(k KeySpec) []Action {
	var trace []Action
	s := k.Initial()
	for _, kind := range []ActionKind{
		CreateKey, Submit, SendStart, DeliverStart, RestartWorker, Suspect,
		Fence, Fence, Fence, Tick, Tick, Tick, Hold, Hold, Hold,
	} {
		a, next := firstAction(k, s, func(a Action) bool {
			switch a.Kind {
			case Fence, Hold:
				return kind == a.Kind && a.Host == 1
			case RestartWorker:
				return kind == a.Kind && s.worker[a.Worker].ranEpochs != 0
			}
			return kind == a.Kind
		})
		trace = append(trace, a)
		s, _ = next.canonical()
	}
	return trace
}

// firstAction returns the first matching action that has an effect, and the next
// state.
func firstAction(k KeySpec, s KeyState, matches func(Action) bool) (action Action, next KeyState) {
	next = s
	k.eachAction(s, func(a Action) {
		if n := k.Do(s, a); next == s && n != s && matches(a) {
			action, next = a, n
		}
	})
	return action, next
}
