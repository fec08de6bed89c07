package ledger

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/uuid"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

func TestStatusFollowsAKey(t *testing.T) {
	b, k := newBench(), keyAt(start, 1)
	want := func(s wire.State) {
		t.Helper()
		if got, ok := b.c.Status(k); !ok || got.State != s {
			t.Errorf("got %+v, want %s", got, s)
		}
	}
	b.sendOne(k, false)
	want(wire.StateRunning)
	b.step(Answered{Key: k, Attempt: 1, Result: model.Result{Outcome: model.OutcomeDone}})
	want(wire.StateEnded)
	if l := b.c.List("a", 10); len(l) != 1 {
		t.Errorf("listed %+v", l)
	}
}

// keyN makes the nth UUIDv7 of a time.
func keyN(at time.Time, n int) model.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[8:], uint64(n))
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	id[6] = 0x70
	id[8] = id[8]&0x3f | 0x80
	return model.Key(id.String())
}
