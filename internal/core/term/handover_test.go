package term

import (
	"testing"
	"time"
)

// TestAnOwnerThatTheStoreTurnsAwayHandsItsTermOverAtOnce: it kept its term for 0.7 s
// after it knew that the store served its peers, who took jobs in that it could not read.
func TestAnOwnerThatTheStoreTurnsAwayHandsItsTermOverAtOnce(t *testing.T) {
	f := &fakeStore{}
	owner, peer := newContender(0), newContender(0)
	peer.core.self, peer.core.addr = "peer/1", "10.0.0.9:1"
	now := time.Duration(0)
	both := func() {
		for _, c := range []*contender{owner, peer} {
			c.readAll(now, f)
			c.step(now, Tick{})
			for len(c.sent) > 0 {
				c.answer(now, f)
			}
		}
	}
	for ; now < 3*time.Second; now += 50 * time.Millisecond {
		both()
	}
	if owner.owns != 1 {
		t.Fatalf("the owner has term %d", owner.owns)
	}
	var told []Record
	tell := func(ev Event) {
		for _, a := range owner.core.Step(now, ev) {
			switch a := a.(type) {
			case NotifyPeers:
				told = append(told, a.Record)
			case Lost:
				owner.owns = 0
			}
		}
	}
	tell(PeersReachStore{})
	if owner.owns != 1 || len(told) != 0 {
		t.Fatal("handed over a term that was proven just now")
	}
	turnedAway := now
	for ; now-turnedAway <= DefaultSettings().QueryPeersAfter+50*time.Millisecond; now += 50 * time.Millisecond {
		peer.readAll(now, f)
		peer.step(now, Tick{})
		owner.step(now, ReadFailed{})
		owner.step(now, Tick{})
		owner.sent, owner.at = nil, nil // turned away
	}
	tell(PeersReachStore{})
	if owner.owns != 0 || len(told) != 1 {
		t.Fatalf("owns %d, %d records told", owner.owns, len(told))
	}
	peer.step(now, PeerRecord{Record: told[0]})
	peer.answer(now, f)
	if peer.owns != 2 {
		t.Errorf("the peer has term %d right after it was told", peer.owns)
	}
	for end := now + time.Second; now < end; now += 50 * time.Millisecond {
		both()
	}
	if owner.owns != 0 || peer.owns != 2 {
		t.Errorf("later the owner has term %d, the peer %d", owner.owns, peer.owns)
	}
}
