package term

import (
	"testing"
	"time"
)

// TestClaimThatIsRepeatedAfterAnOutageKeepsItsTerm guards against an owner that counts its claim
// from an earlier attempt that was refused: it lost the term as soon as it read its record.
func TestClaimThatIsRepeatedAfterAnOutageKeepsItsTerm(t *testing.T) {
	f := &fakeStore{}
	a := newContender(0)
	a.readAll(0, f)
	a.step(time.Millisecond, Tick{})
	a.fail(2 * time.Millisecond)
	a.step(3*time.Millisecond, ReadFailed{})
	now := 10 * time.Second // the store is back
	a.readAll(now, f)
	a.step(now+time.Millisecond, Tick{})
	if len(a.pending) != 1 {
		t.Fatalf("%d writes", len(a.pending))
	}
	w, sentAt := a.pending[0], a.sentAt[0]
	_, end := f.append(w)
	a.readAll(now+3*time.Millisecond, f) // the waiting read is answered before the append
	if a.ownedTerm == 0 {
		t.Errorf("lost the term %v after its claim was sent", now+3*time.Millisecond-sentAt)
	}
	a.pending, a.sentAt = nil, nil
	a.step(now+4*time.Millisecond, WriteResult{Outcome: WriteDone, End: end, SentAt: sentAt, Record: w.Record})
	a.step(now+time.Second, Tick{})
	if a.ownedTerm != 1 {
		t.Errorf("owns term %d, gained %v, pending %+v", a.ownedTerm, a.gained, a.pending)
	}
}
