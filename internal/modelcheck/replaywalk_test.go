package modelcheck

import (
	"math/rand/v2"
	"testing"
)

// TestCoresDecideAsTheSpecificationDoes walks the specification at random and
// takes the cores along.
func TestCoresDecideAsTheSpecificationDoes(t *testing.T) {
	rng := rand.New(rand.NewPCG(20261203, 4))
	k := KeySpec{
		WaitTicks: 3, MaxTicks: 12, MaxRestarts: 3, MaxCrashes: 1, MaxDelayedHolds: 2, SecondClaim: true, HostPauses: true, LostAnswers: true,
	}
	steps := 0
	for range 2000 {
		r := newReplay(t, k)
		for range 120 {
			a, ok := pick(rng, k, r.s)
			if !ok {
				break
			}
			r.do(a)
			steps++
		}
	}
	t.Logf("2000 walks, %d steps", steps)
}

// pick chooses among the verbs first, so that ticks are not rare.
func pick(rng *rand.Rand, k KeySpec, s KeyState) (Action, bool) {
	byVerb := make(map[ActionKind][]Action)
	var verbs []ActionKind
	k.each(s, func(a Action) {
		if k.Do(s, a) == s {
			return
		}
		if byVerb[a.Kind] == nil {
			verbs = append(verbs, a.Kind)
		}
		byVerb[a.Kind] = append(byVerb[a.Kind], a)
	})
	if len(verbs) == 0 {
		return Action{}, false
	}
	as := byVerb[verbs[rng.IntN(len(verbs))]]
	return as[rng.IntN(len(as))], true
}

// TestCoresFollowTheWayIntoEachTrap replays the shortest way into each trap.
func TestCoresFollowTheWayIntoEachTrap(t *testing.T) {
	k := KeySpec{WaitTicks: 3, MaxTicks: 3, SecondClaim: true}
	rep := Explore(k, 250_000)
	for _, trap := range KeyScenarios {
		trace := rep.ScenarioTraces[trap]
		if trap == ScenarioForgottenRun {
			k.MaxRestarts = 1
			trace = wayToForgot(k)
		}
		if len(trace) == 0 {
			t.Errorf("no way found into: %s", trap)
		}
		r := newReplay(t, k)
		for _, a := range trace {
			r.do(a)
		}
		at := false
		k.Scenarios(r.s, func(hit string) { at = at || hit == trap })
		if !at {
			t.Errorf("replayed, but not in: %s", trap)
		}
	}
}

// wayToForgot leads into the trap of a worker that forgot, which is too deep for
// a short exploration.
func wayToForgot(k KeySpec) []Action {
	var trace []Action
	s := k.Initial()
	for _, verb := range []ActionKind{
		CreateKey, Submit, SendStart, DeliverStart, RestartWorker, Suspect,
		Fence, Fence, Fence, Tick, Tick, Tick, Hold, Hold, Hold,
	} {
		a, next := firstOf(k, s, func(a Action) bool {
			switch a.Kind {
			case Fence, Hold:
				return verb == a.Kind && a.Host == 1
			case RestartWorker:
				return verb == a.Kind && s.worker[a.Worker].ran != 0
			}
			return verb == a.Kind
		})
		trace = append(trace, a)
		s, _ = next.canon()
	}
	return trace
}

// firstOf gives the first fitting action that has an effect, and the next state.
func firstOf(k KeySpec, s KeyState, fits func(Action) bool) (act Action, next KeyState) {
	next = s
	k.each(s, func(a Action) {
		if n := k.Do(s, a); next == s && n != s && fits(a) {
			act, next = a, n
		}
	})
	return act, next
}
