package term

import (
	"testing"
	"time"
)

// TestOwnerCutOffFromTheStoreHandsItsTermOverAtOnce guards against an owner that keeps
// its term although it knows that the store refuses it and serves its peers. For 0.7 s
// the peers accepted jobs that the owner could not read.
func TestOwnerCutOffFromTheStoreHandsItsTermOverAtOnce(t *testing.T) {
	f := &fakeStore{}
	owner, peer := newContender(0), newContender(0)
	peer.core.self, peer.core.addr = "peer/1", "10.0.0.9:1"
	now := time.Duration(0)
	both := func() {
		for _, c := range []*contender{owner, peer} {
			c.readAll(now, f)
			c.step(now, Tick{})
			for len(c.pending) > 0 {
				c.answer(now, f)
			}
		}
	}
	for ; now < 3*time.Second; now += 50 * time.Millisecond {
		both()
	}
	if owner.ownedTerm != 1 {
		t.Fatalf("the owner has term %d", owner.ownedTerm)
	}
	var notified []Record
	stepOwner := func(ev Event) {
		for _, a := range owner.core.Step(now, ev) {
			switch a := a.(type) {
			case NotifyPeers:
				notified = append(notified, a.Record)
			case Lost:
				owner.ownedTerm = 0
			}
		}
	}
	stepOwner(PeersReachStore{})
	if owner.ownedTerm != 1 || len(notified) != 0 {
		t.Fatal("handed over a term that was confirmed just now")
	}
	refusedSince := now
	for ; now-refusedSince <= DefaultSettings().QueryPeersAfter+50*time.Millisecond; now += 50 * time.Millisecond {
		peer.readAll(now, f)
		peer.step(now, Tick{})
		owner.step(now, ReadFailed{})
		owner.step(now, Tick{})
		owner.pending, owner.sentAt = nil, nil // the store refuses them
	}
	stepOwner(PeersReachStore{})
	if owner.ownedTerm != 0 || len(notified) != 1 {
		t.Fatalf("owns %d, peers notified of %d records", owner.ownedTerm, len(notified))
	}
	peer.step(now, PeerRecord{Record: notified[0]})
	peer.answer(now, f)
	if peer.ownedTerm != 2 {
		t.Errorf("the peer has term %d right after it was notified", peer.ownedTerm)
	}
	for end := now + time.Second; now < end; now += 50 * time.Millisecond {
		both()
	}
	if owner.ownedTerm != 0 || peer.ownedTerm != 2 {
		t.Errorf("later the owner has term %d, the peer %d", owner.ownedTerm, peer.ownedTerm)
	}
}
