package ownership

import (
	"fmt"
	"testing"
	"time"

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

func TestAHostOfAnotherDataCentreLetsThoseNearClaimFirst(t *testing.T) {
	for name, c := range map[string]struct {
		near model.DataCentre
		want time.Duration
	}{
		"its own data centre":     {"here", 0},
		"another data centre":     {"there", 500 * time.Millisecond},
		"no data centre is named": {"", 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench("b")
			b.c.set.DataCentre = "here"
			b.hostList("b")
			target := cellTarget()
			target.Near = c.near
			b.configure(target)
			begun := b.now
			for len(of[Gain](b.did)) == 0 && b.now.Sub(begun) < 5*time.Second {
				b.wait(50 * time.Millisecond)
			}
			if waited := b.now.Sub(begun); waited < c.want || waited > c.want+time.Second {
				t.Fatalf("gained after %v, want %v to a second more", waited, c.want)
			}
		})
	}
}
