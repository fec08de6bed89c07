package core_test

import (
	"testing"
	"time"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/wire"
)

// TestClosedLinkTellsTheCausesApart guards against a failed link that does not say whether the peer, the path
// or this process was at fault.
func TestClosedLinkTellsTheCausesApart(t *testing.T) {
	for name, c := range map[string]struct {
		between time.Duration
		partial func(check int) int
		queued  int
		want    core.Health
	}{
		"silent peer": {
			between: checkInterval, partial: func(int) int { return 0 },
			want: core.Health{Age: 3 * time.Second, LastFrame: 3 * time.Second, LastBytes: 3 * time.Second},
		},
		"silent peer with data to send": {
			between: checkInterval, partial: func(int) int { return 0 }, queued: 5000,
			want: core.Health{Age: 3 * time.Second, LastFrame: 3 * time.Second, LastBytes: 3 * time.Second, QueuedBytes: 5000},
		},
		"process that is always late": {
			between: 5 * time.Second, partial: func(int) int { return 0 },
			want: core.Health{Age: 15 * time.Second, LastFrame: 15 * time.Second, LastBytes: 15 * time.Second, CheckLate: 4500 * time.Millisecond},
		},
		"trickle": {
			between: checkInterval, partial: func(check int) int { return check + 1 },
			want: core.Health{Age: 12 * time.Second, LastFrame: 12 * time.Second},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d, now := core.NewDialer(startTime, 1, limits(), nil), startTime
			if c.queued > 0 {
				d.Step(now, core.StartCall{Ticket: 1, Kind: wire.KindSubmit, Body: make([]byte, c.queued)})
			}
			for check := 0; ; check++ {
				now = now.Add(c.between)
				for _, a := range d.Step(now, core.Tick{PartialBytes: c.partial(check)}) {
					if closed, ok := a.(core.CloseLink); ok {
						if closed.Health != c.want {
							t.Errorf("%+v, want %+v", closed.Health, c.want)
						}
						return
					}
				}
			}
		})
	}
}
