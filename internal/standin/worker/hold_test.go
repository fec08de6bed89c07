package worker_test

import (
	"errors"
	"testing"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/standin/worker"
)

func TestHoldIsRenewedOnlyWithTheLatestEcho(t *testing.T) {
	r := newFixture(t, worker.Options{})
	first := r.hold(epoch, 0)
	if first.Refused || first.Echo == 0 {
		t.Fatalf("new hold: %+v", first)
	}
	second := r.hold(epoch, first.Echo)
	if second.Refused || second.Echo == first.Echo {
		t.Fatalf("renewal: %+v", second)
	}
	repeated := r.hold(epoch, first.Echo)
	if !repeated.Refused || repeated.Echo != second.Echo {
		t.Fatalf("repeated renewal: %+v, want it refused with the echo %d", repeated, second.Echo)
	}
}

func TestSecondRequestDoesNotExtendHold(t *testing.T) {
	r := newFixture(t, worker.Options{})
	first := r.hold(epoch, 0)
	r.advance(ttl - time.Second)
	if again := r.hold(epoch, 0); !again.Refused || again.Echo != first.Echo {
		t.Fatalf("second request: %+v", again)
	}
	r.advance(time.Second)
	if err := r.Start(r.ctx, keyedStartOf("a", epoch)); err == nil {
		t.Fatal("the hold was still in force after its time to live")
	}
}

func TestExpiredHoldIsNotRenewed(t *testing.T) {
	r := newFixture(t, worker.Options{})
	first := r.hold(epoch, 0)
	r.advance(ttl)
	if late := r.hold(epoch, first.Echo); !late.Refused || late.Echo != 0 {
		t.Fatalf("late renewal: %+v", late)
	}
}

func TestRenewalFromBeforeARestartIsRefused(t *testing.T) {
	r := newFixture(t, worker.Options{})
	first := r.hold(epoch, 0)
	r.Restart()
	if late := r.hold(epoch, first.Echo); !late.Refused {
		t.Fatalf("renewal: %+v", late)
	}
	fresh := r.hold(epoch, 0)
	if fresh.Refused || fresh.Echo == first.Echo || fresh.Incarnation == first.Incarnation {
		t.Fatalf("new hold: %+v after %+v", fresh, first)
	}
}

func TestStaleEpochIsRefusedAndToldTheHighest(t *testing.T) {
	r := newFixture(t, worker.Options{})
	first := r.hold(epoch, 0)
	_, err := r.Fence(r.ctx, platform.Fence{Scope: model.GroupScope(group), Epoch: epoch + 5})
	r.must(err)
	for name, echo := range map[string]uint64{"renewal": first.Echo, "new hold": 0} {
		if got := r.hold(epoch, echo); !got.Refused || got.Highest != epoch+5 {
			t.Errorf("%s: %+v", name, got)
		}
	}
	if next := r.hold(epoch+5, 0); next.Refused {
		t.Errorf("the fencing epoch: %+v", next)
	}
}

func TestMessagesForAnEarlierIncarnationHaveNoEffect(t *testing.T) {
	clock := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	w := worker.New(worker.Options{ID: "w", Capacity: model.Shape{Slots: 8}, Clock: func() time.Time { return clock }})
	fenced, err := w.Fence(t.Context(), platform.Fence{Scope: model.GroupScope(1), Epoch: 16})
	if err != nil {
		t.Fatal(err)
	}
	w.Restart()
	hold := platform.Hold{Group: 1, Epoch: 16, TTL: time.Second, Incarnation: fenced.Incarnation}
	if held, err := w.Hold(t.Context(), []platform.Hold{hold}); err != nil || !held[0].Refused {
		t.Errorf("hold of an earlier incarnation: %+v, %v", held, err)
	}
	start := platform.Start{
		Lease: "l", Cell: "c", Epoch: 16, Incarnation: fenced.Incarnation,
		Grant: &platform.Grant{Lease: "l", Cell: "c", Epoch: 16, TTL: time.Minute, Shape: model.Shape{Slots: 1}},
	}
	if err := w.Start(t.Context(), start); !errors.Is(err, platform.ErrRefused) {
		t.Errorf("start of an earlier incarnation: %v", err)
	}
}
