package core_test

import (
	"testing"
	"time"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/wire"
)

// writtenKinds lets a dialer write until it has no frame that may be sent now. It
// returns the kinds of the calls written and how long the budget then delays the next.
func writtenKinds(d *core.Dialer, now time.Time) (kinds []wire.Kind, wait time.Duration) {
	for {
		wrote := false
		for _, a := range d.Step(now, core.Writable{}) {
			switch a := a.(type) {
			case core.Write:
				wrote = true
				if a.Frame.Kind != 0 {
					kinds = append(kinds, a.Frame.Kind)
				}
			case core.Throttled:
				wait = a.Wait
			}
		}
		if !wrote {
			return kinds, wait
		}
	}
}

func TestBudgetDelaysSummariesLongestAndHeartbeatsNever(t *testing.T) {
	const rate = 60_000
	b := core.NewTokenBucket(rate)
	d := core.NewDialer(startTime, 1, limits(), b)
	b.Take(startTime, core.PriorityNormal, rate*6/10)
	startCall := func(tk core.Ticket, k wire.Kind) {
		d.Step(startTime, core.StartCall{Ticket: tk, Kind: k, Body: make([]byte, 30_000)})
	}
	startCall(1, wire.KindSummary)
	startCall(2, wire.KindSubmit)
	startCall(3, wire.KindSubmit)
	startCall(4, wire.KindHeartbeat)
	kinds, wait := writtenKinds(d, startTime)
	if len(kinds) != 1 || kinds[0] != wire.KindHeartbeat || wait == 0 {
		t.Fatalf("after a heartbeat has used up the budget: wrote %v, waits %v", kinds, wait)
	}
	now := startTime.Add(wait + time.Millisecond)
	kinds, wait = writtenKinds(d, now)
	if len(kinds) != 1 || kinds[0] != wire.KindSubmit || wait == 0 {
		t.Fatalf("after a first partial refill: wrote %v, waits %v", kinds, wait)
	}
	now = now.Add(wait + time.Millisecond)
	if kinds, _ = writtenKinds(d, now); len(kinds) != 1 || kinds[0] != wire.KindSubmit {
		t.Fatalf("after a second partial refill: wrote %v", kinds)
	}
	if kinds, _ = writtenKinds(d, now.Add(2*time.Second)); len(kinds) != 1 || kinds[0] != wire.KindSummary {
		t.Fatalf("after a complete refill: wrote %v", kinds)
	}
}
