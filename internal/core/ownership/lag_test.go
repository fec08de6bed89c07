package ownership

import (
	"testing"
	"time"

	"coltsfootmux/internal/model"
)

// announced makes another host's start known, and its claim on a target.
func (b *bench) announced(host model.HostID, t Target) {
	m := model.Member{Host: host, Boot: "1"}
	b.step(ClaimRead{Offset: b.next, At: b.now, Claim: model.Claim{
		Scope: model.Scope{Kind: model.ScopeHost, Name: string(host)}, Line: []model.Member{m},
	}})
	b.next++
	b.step(ClaimRead{Offset: b.next, At: b.now, Claim: model.Claim{Scope: t.Scope, Line: []model.Member{m}}})
	b.next++
}

func TestAnOwnerThatTheHostListDoesNotShowYetKeepsItsCell(t *testing.T) {
	b := newBench("b")
	b.hostList()
	b.configure(cellTarget())
	b.did = nil
	b.announced("a", cellTarget())
	b.wait(5 * time.Second)
	if got := of[Gain](b.did); len(got) != 0 {
		t.Fatalf("took the cell %d times from an owner that had just started", len(got))
	}
}

func TestAnOwnerThatTheHostListNeverShowsIsReplaced(t *testing.T) {
	b := newBench("b")
	b.hostList()
	b.configure(cellTarget())
	b.did = nil
	b.announced("a", cellTarget())
	b.wait(listGrace + 5*time.Second)
	if got := of[Gain](b.did); len(got) != 1 {
		t.Fatalf("took the cell %d times, want once", len(got))
	}
}
