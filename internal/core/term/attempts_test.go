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

// TestRepeatedClaimCountsFromItsOwnSending guards against a claim that counts as confirmed from an
// earlier attempt that the owner's renewal had barred: the term was lost as soon as it was gained.
func TestRepeatedClaimCountsFromItsOwnSending(t *testing.T) {
	f := &fakeStore{records: []Record{{Term: 1, Owner: "gone/1", Addr: "10.0.0.9:1"}}}
	b := newContender(0)
	b.readAll(0, f)
	now := DefaultSettings().StaleAfter
	b.step(now, Tick{})
	f.records = append(f.records, Record{Term: 1, Owner: "gone/1", Addr: "10.0.0.9:1", Renewal: 1})
	b.answer(now, f) // conflicts
	b.readAll(now, f)
	for ; len(b.pending) == 0; now += 50 * time.Millisecond {
		if now > time.Minute {
			t.Fatal("no second claim")
		}
		b.readAll(now, f)
		b.step(now, Tick{})
	}
	sent := b.sentAt[0]
	f.append(b.pending[0])
	b.readAll(now, f) // before the answer to the write
	if len(b.gainedAt) != 1 || b.gainedAt[0] != sent {
		t.Errorf("gained as of %v, want %v, when the second claim was sent", b.gainedAt, sent)
	}
}

// TestReleaseCountsAsAPendingWrite guards against a bound on unanswered writes that each release
// raises by one.
func TestReleaseCountsAsAPendingWrite(t *testing.T) {
	f := &fakeStore{}
	a := newContender(0)
	a.readAll(0, f)
	a.answer(0, f)
	a.step(time.Millisecond, Stopping{})
	a.answer(2*time.Millisecond, f)
	if n := a.core.pendingWrites; n != 0 {
		t.Errorf("%d pending writes after all were answered", n)
	}
}

// TestAttemptsOfAnEarlierSeriesEndNoLaterOne guards against a record that counts from its last attempt
// while an earlier one is under way, as the result of one at an earlier end of the topic came late.
func TestAttemptsOfAnEarlierSeriesEndNoLaterOne(t *testing.T) {
	var a attempts
	r := Record{Term: 2}
	a.add(time.Second, r, 7)
	a.add(2*time.Second, r, 8) // the earlier attempt can't succeed any more
	a.answered(WriteResult{Outcome: WriteConflict, Record: r, ExpectedEnd: 7, SentAt: 3 * time.Second})
	a.add(4*time.Second, r, 8)
	if a.sentAt != 2*time.Second {
		t.Errorf("counts from %v, want 2s", a.sentAt)
	}
}
