package core_test

import (
	"testing"
	"time"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

// sides returns both sides of a link that was just opened.
func sides() map[string]stateMachine {
	return map[string]stateMachine{
		"dialer":   core.NewDialer(startTime, 1, limits(), nil),
		"acceptor": core.NewAcceptor(startTime, limits(), nil),
	}
}

// TestLargeFrameOverANarrowPathKeepsTheLink guards against a link that is closed as silent while a frame
// takes longer to arrive than the silence timeout.
func TestLargeFrameOverANarrowPathKeepsTheLink(t *testing.T) {
	const frameTime, tickBytes = 8 * time.Second, frame.ChunkBytes / 16
	for side, m := range sides() {
		t.Run(side, func(t *testing.T) {
			peer, now := &soundPeer{}, startTime
			for range 5 {
				for arrived := range int(frameTime / checkInterval) {
					now = now.Add(checkInterval)
					if why := closeReason(m.Step(now, core.Tick{PartialBytes: (arrived + 1) * tickBytes})); why != "" {
						t.Fatalf("after %v: %s", now.Sub(startTime), why)
					}
					peer.write(m.Step(now, core.Writable{}))
				}
				m.Step(now, core.Received{Frame: frame.Frame{Type: frame.Response, Kind: wire.KindSubmit}})
				m.Step(now, peer.heartbeat())
			}
		})
	}
}

// TestTrickleOfBytesDoesNotHoldALink bounds the time that one frame may take.
func TestTrickleOfBytesDoesNotHoldALink(t *testing.T) {
	for side, m := range sides() {
		t.Run(side, func(t *testing.T) {
			now, why := startTime, ""
			for n := 1; why == ""; n++ {
				now = now.Add(checkInterval)
				why = closeReason(m.Step(now, core.Tick{PartialBytes: n}))
				m.Step(now, core.Writable{})
				if now.Sub(startTime) > 4*limits().SilenceTimeout {
					t.Fatal("open after 12 s without a whole frame")
				}
			}
			if now.Sub(startTime) < 4*limits().SilenceTimeout {
				t.Errorf("closed after %v: %s", now.Sub(startTime), why)
			}
		})
	}
}

// TestFrameThatStopsArrivingIsSilence guards against bytes that count as a sign of life again and again.
func TestFrameThatStopsArrivingIsSilence(t *testing.T) {
	for side, m := range sides() {
		t.Run(side, func(t *testing.T) {
			now, why := startTime, ""
			for why == "" {
				now = now.Add(checkInterval)
				why = closeReason(m.Step(now, core.Tick{PartialBytes: 1000}))
			}
			if want := limits().SilenceTimeout + checkInterval; now.Sub(startTime) != want {
				t.Errorf("closed after %v, want %v", now.Sub(startTime), want)
			}
		})
	}
}

// TestDataAheadOfEchoesKeepsTheLink guards against a link that is closed because the peer's heartbeats,
// which carry the echoes, wait behind its data.
func TestDataAheadOfEchoesKeepsTheLink(t *testing.T) {
	for side, m := range sides() {
		t.Run(side, func(t *testing.T) {
			peer, now := &soundPeer{}, startTime
			for n := range 64 {
				now = now.Add(checkInterval)
				peer.write(m.Step(now, core.Writable{}))
				m.Step(now, core.Received{Frame: frame.Frame{Type: frame.Response, Kind: wire.KindSubmit}})
				if n%16 == 15 { // 8 s of data are ahead of each heartbeat
					m.Step(now, peer.heartbeat())
				}
				if why := closeReason(m.Step(now, core.Tick{})); why != "" {
					t.Fatalf("after %v: %s", now.Sub(startTime), why)
				}
			}
		})
	}
}

// TestDataWithoutHeartbeatsDoesNotHoldALink bounds the time that a peer may send data without an echo.
func TestDataWithoutHeartbeatsDoesNotHoldALink(t *testing.T) {
	for side, m := range sides() {
		t.Run(side, func(t *testing.T) {
			now, why := startTime, ""
			for why == "" {
				now = now.Add(checkInterval)
				m.Step(now, core.Writable{})
				m.Step(now, core.Received{Frame: frame.Frame{Type: frame.Response, Kind: wire.KindSubmit}})
				if why = closeReason(m.Step(now, core.Tick{})); now.Sub(startTime) > 13*time.Second {
					t.Fatal("open after 13 s without an echo")
				}
			}
		})
	}
}

// TestHeartbeatsGoBetweenTheChunksOfALargeMessage guards against a peer that finds this process silent, as
// its heartbeats wait for a chunk that takes seconds to send. Peers of earlier versions count whole frames.
func TestHeartbeatsGoBetweenTheChunksOfALargeMessage(t *testing.T) {
	const pathBytesPerSecond = 12_000
	p := newPair()
	p.startCall(t, 1, wire.KindSubmit, 300_000)
	lastHeartbeat, lastFrame := startTime, startTime
	for now := startTime; ; {
		var out *frame.Frame
		for _, a := range p.dialer.Step(now, core.Writable{}) {
			if w, ok := a.(core.Write); ok {
				out = &w.Frame
			}
		}
		if out == nil {
			return
		}
		now = now.Add(time.Duration(len(out.Payload)+frame.OverheadBytes) * time.Second / pathBytesPerSecond)
		if gap := now.Sub(lastFrame); gap >= limits().SilenceTimeout {
			t.Fatalf("%v between two frames", gap)
		}
		lastFrame = now
		if out.Type == frame.Heartbeat {
			if gap := now.Sub(lastHeartbeat); gap >= limits().SilenceTimeout {
				t.Fatalf("%v between two heartbeats", gap)
			}
			lastHeartbeat = now
		}
	}
}
