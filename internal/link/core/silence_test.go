package core_test

import (
	"testing"
	"time"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/link/frame"
)

// closeReason returns why the actions close the link, or "".
func closeReason(acts []core.Action) string {
	for _, a := range acts {
		if c, ok := a.(core.CloseLink); ok {
			return c.Reason
		}
	}
	return ""
}

// soundPeer sends a heartbeat with the latest echo each second.
type soundPeer struct{ sent, heard uint64 }

func (s *soundPeer) write(acts []core.Action) {
	for _, a := range acts {
		if w, ok := a.(core.Write); ok && w.Frame.Type == frame.Heartbeat {
			s.heard = w.Frame.Call
		}
	}
}

func (s *soundPeer) heartbeat() core.Received {
	s.sent++
	return core.Received{Frame: frame.Frame{Type: frame.Heartbeat, Call: s.sent, Offset: s.heard}}
}

// checkInterval is the time between the checks of a process that is in time.
const checkInterval = 500 * time.Millisecond

// TestLateProcessKeepsLinksOfSoundPeers guards against a process that was paused and then closes its
// sound links at once, as the frames of the pause wait in its sockets.
func TestLateProcessKeepsLinksOfSoundPeers(t *testing.T) {
	for name, stops := range map[string][]time.Duration{
		"one stop of 10 s":          {10 * time.Second},
		"one stop of 3 s":           {3 * time.Second},
		"a series of stops":         {3500 * time.Millisecond, 3500 * time.Millisecond, 3500 * time.Millisecond, 3500 * time.Millisecond},
		"stops just under a second": {900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond, 900 * time.Millisecond},
	} {
		for side, m := range map[string]stateMachine{
			"dialer":   core.NewDialer(startTime, 1, limits(), nil),
			"acceptor": core.NewAcceptor(startTime, limits(), nil),
		} {
			t.Run(name+", "+side, func(t *testing.T) {
				peer, now := &soundPeer{}, startTime
				for _, stop := range stops {
					now = now.Add(stop)
					// The check comes before the frames that have waited.
					if why := closeReason(m.Step(now, core.Tick{})); why != "" {
						t.Fatalf("after %v: %s", now.Sub(startTime), why)
					}
					peer.write(m.Step(now, core.Writable{}))
					for range stop / time.Second {
						m.Step(now, peer.heartbeat())
					}
					now = now.Add(300 * time.Millisecond)
					m.Step(now, peer.heartbeat())
				}
			})
		}
	}
}

// TestLateProcessClosesLinksOfSilentPeers bounds the time that a process allows for its own lateness.
func TestLateProcessClosesLinksOfSilentPeers(t *testing.T) {
	for name, c := range map[string]struct {
		between time.Duration
		checks  int
	}{
		"in time":                 {checkInterval, 6},
		"late by half a second":   {2 * checkInterval, 3},
		"stopped for 5 s, always": {5 * time.Second, 3},
	} {
		t.Run(name, func(t *testing.T) {
			d, now, checks := core.NewDialer(startTime, 1, limits(), nil), startTime, 0
			for why := ""; why == ""; checks++ {
				if checks > c.checks {
					t.Fatalf("open after %d checks, want %d", checks, c.checks)
				}
				now = now.Add(c.between)
				why = closeReason(d.Step(now, core.Tick{}))
			}
			if checks != c.checks {
				t.Errorf("closed at check %d, want %d", checks, c.checks)
			}
		})
	}
}

// TestStopOfTheProcessDoesNotHideLaterSilence guards against an allowance that lasts: once the process
// runs in time, a peer that has gone is found as soon as usual.
func TestStopOfTheProcessDoesNotHideLaterSilence(t *testing.T) {
	d, now := core.NewDialer(startTime, 1, limits(), nil), startTime.Add(10*time.Second)
	for resumed := now; ; now = now.Add(checkInterval) {
		if closeReason(d.Step(now, core.Tick{})) != "" {
			return
		}
		if now.Sub(resumed) > limits().SilenceTimeout {
			t.Fatal("open 3 s after the stop")
		}
	}
}
