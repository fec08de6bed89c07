package ownership

import (
	"fmt"
	"testing"

	"coltsfootmux/internal/model"
)

func TestAnOwnersSuccessorsDoNotGrowWithItsScopes(t *testing.T) {
	b := newBench("self")
	ids := []model.HostID{"self"}
	for i := range 40 {
		ids = append(ids, model.HostID(fmt.Sprintf("h%02d", i)))
	}
	b.hostList(ids...)
	for _, id := range ids {
		m := model.Member{Host: id, Boot: "1"}
		b.step(ClaimRead{Offset: b.next, At: b.now, Claim: model.Claim{
			Scope: model.Scope{Kind: model.ScopeHost, Name: string(id)}, Line: []model.Member{m},
		}})
		b.next++
	}
	all, first := make(map[model.HostID]bool), make(map[model.HostID]bool)
	for i := range 60 {
		line := b.c.line(b.now, Target{Scope: model.CellScope(model.CellID(fmt.Sprint(i)))})
		if line[0].Host != "self" || len(line) != b.c.set.LineLength {
			t.Fatalf("line %v", line)
		}
		first[line[1].Host] = true
		for _, m := range line[1:] {
			all[m.Host] = true
		}
	}
	if len(all) != b.c.set.LineLength-1 {
		t.Errorf("%d successors for 60 cells, want %d", len(all), b.c.set.LineLength-1)
	}
	if len(first) != len(all) {
		t.Errorf("only %d of them ever come first", len(first))
	}
}
