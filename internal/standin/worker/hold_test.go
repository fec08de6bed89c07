package worker_test

import (
	"testing"
	"time"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/standin/worker"
)

func TestHoldIsRenewedOnlyByTheLastNumber(t *testing.T) {
	r := newRig(t, worker.Options{})
	first := r.hold(epoch, 0)
	if first.Refused || first.Echo == 0 {
		t.Fatalf("new hold: %+v", first)
	}
	second := r.hold(epoch, first.Echo)
	if second.Refused || second.Echo == first.Echo {
		t.Fatalf("renewal: %+v", second)
	}
	doubled := r.hold(epoch, first.Echo)
	if !doubled.Refused || doubled.Echo != second.Echo {
		t.Fatalf("doubled renewal: %+v, want it refused with the number %d", doubled, second.Echo)
	}
}

func TestHoldIsNotStretchedByASecondRequest(t *testing.T) {
	r := newRig(t, worker.Options{})
	first := r.hold(epoch, 0)
	r.pass(ttl - time.Second)
	if again := r.hold(epoch, 0); !again.Refused || again.Echo != first.Echo {
		t.Fatalf("second request: %+v", again)
	}
	r.pass(time.Second)
	if err := r.Start(r.ctx, keyedStartOf("a", epoch)); err == nil {
		t.Fatal("the hold outlived its time")
	}
}

func TestLapsedHoldIsNotRevived(t *testing.T) {
	r := newRig(t, worker.Options{})
	first := r.hold(epoch, 0)
	r.pass(ttl)
	if late := r.hold(epoch, first.Echo); !late.Refused || late.Echo != 0 {
		t.Fatalf("late renewal: %+v", late)
	}
}

func TestRenewalFromBeforeARestartIsRefused(t *testing.T) {
	r := newRig(t, worker.Options{})
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

func TestOldEpochGetsNoHoldAndLearnsTheHighest(t *testing.T) {
	r := newRig(t, worker.Options{})
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
