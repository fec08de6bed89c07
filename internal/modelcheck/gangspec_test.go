package modelcheck

import (
	"testing"
	"time"

	"coltsfootmux/internal/core/gangstart"
)

func TestNoMemberOfAGangWaitsToTheWorkersLimit(t *testing.T) {
	r := Explore(GangSpec{}, 20_000_000)
	t.Log(r)
	if r.Violation != "" || !r.Complete {
		t.Errorf("violation %q, complete %v", r.Violation, r.Complete)
		logTrace(t, r)
	}
	for _, scenario := range []string{ScenarioWholeGang, ScenarioGangStopped, ScenarioLateStart, ScenarioGangOrphan} {
		if r.Scenarios[scenario] == 0 {
			t.Errorf("scenario not reached: %s", scenario)
		}
	}
}

func TestEachGangMutationIsFound(t *testing.T) {
	for name, k := range map[string]GangSpec{
		"no bound": {NoBound: true},
		"stops counted from the last order's send": {CountFromSend: true},
		"stops for orders that were not sent only": {IgnoreUnanswered: true},
	} {
		if r := Explore(k, 5_000_000); r.Violation == "" {
			t.Errorf("%s: no violation found in %s", name, r)
		}
	}
}

// TestGangStartDecidesAsSpecified compares the decisions of the core with those of the specification, at
// all of its times.
func TestGangStartDecidesAsSpecified(t *testing.T) {
	const unit, orderedAt = 500 * time.Millisecond, time.Hour
	core := gangstart.New(orderedAt, gangLimit*unit)
	for now := range uint8(gangEnd) {
		at := orderedAt + time.Duration(now)*unit
		if got, want := at <= core.SendBy(), (GangSpec{}).maySend(now); got != want {
			t.Errorf("at %d: sent %v, want %v", now, got, want)
		}
		if got, want := core.IsOverdue(at), (GangSpec{}).isOverdue(&GangState{now: now}); got != want {
			t.Errorf("at %d: overdue %v, want %v", now, got, want)
		}
	}
}
