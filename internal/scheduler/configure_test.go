package scheduler

import (
	"testing"
	"time"

	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/model"
)

func TestAChangeOfWorkersIsDatedAndStaysSo(t *testing.T) {
	target := func(ids ...model.WorkerID) []ownership.Target {
		t := ownership.Target{Scope: model.GroupScope(0)}
		for _, id := range ids {
			t.Workers = append(t.Workers, model.Worker{ID: id})
		}
		return []ownership.Target{t}
	}
	at := time.Unix(100, 0)
	first := dated(target("a", "b"), nil, at)
	if !first[0].Since.IsZero() {
		t.Fatal("the first configuration counts as a change")
	}
	same := dated(target("a", "b"), first, at.Add(time.Minute))
	if !same[0].Since.IsZero() {
		t.Fatal("the same workers count as a change")
	}
	changed := dated(target("a", "c"), same, at.Add(2*time.Minute))
	later := dated(target("a", "c"), changed, at.Add(3*time.Minute))
	if want := at.Add(2 * time.Minute); changed[0].Since != want || later[0].Since != want {
		t.Fatalf("dated %v and %v, want %v", changed[0].Since, later[0].Since, want)
	}
}
