package core_test

import (
	"testing"
	"time"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/wire"
)

// writtenKinds gives the kinds of the frames that a dialer writtenKinds until it has none
// that may go now, and how long it then waits.
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

func TestOverTheBudgetSummariesWaitThenCallsAndHeartbeatsGo(t *testing.T) {
	const rate = 100_000
	b := core.NewTokenBucket(rate)
	d := core.NewDialer(startTime, 1, limits(), b)
	b.Take(startTime, core.PriorityNormal, rate*6/10)
	open := func(tk core.Ticket, k wire.Kind) {
		d.Step(startTime, core.StartCall{Ticket: tk, Kind: k, Body: make([]byte, 50_000)})
	}
	open(1, wire.KindSummary)
	open(2, wire.KindSubmit)
	open(3, wire.KindSubmit)
	open(4, wire.KindHeartbeat)
	kinds, wait := writtenKinds(d, startTime)
	if len(kinds) != 1 || kinds[0] != wire.KindHeartbeat || wait == 0 {
		t.Fatalf("with the budget spent by a heartbeat: wrote %v, waits %v", kinds, wait)
	}
	now := startTime.Add(wait + time.Millisecond)
	kinds, wait = writtenKinds(d, now)
	if len(kinds) != 1 || kinds[0] != wire.KindSubmit || wait == 0 {
		t.Fatalf("with a little of the budget back: wrote %v, waits %v", kinds, wait)
	}
	now = now.Add(wait + time.Millisecond)
	if kinds, _ = writtenKinds(d, now); len(kinds) != 1 || kinds[0] != wire.KindSubmit {
		t.Fatalf("with a little more: wrote %v", kinds)
	}
	if kinds, _ = writtenKinds(d, now.Add(2*time.Second)); len(kinds) != 1 || kinds[0] != wire.KindSummary {
		t.Fatalf("with the budget whole again: wrote %v", kinds)
	}
}
