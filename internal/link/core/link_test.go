package core_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

func TestEachCallEndsOnceWithItsOwnAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair()
		var next core.Ticket
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			p.randomStep(t, &next)
		}
		p.finishAll(t)
		if len(p.ended) != int(next) {
			t.Fatalf("%d of %d calls ended", len(p.ended), next)
		}
		if p.closed {
			t.Fatalf("a working link was closed")
		}
		p.checkNoDuplicateRuns(t)
	})
}

// TestBadFramesNeverReachTheWrongCaller duplicates, reorders, misdirects, truncates,
// alters and drops frames.
func TestBadFramesNeverReachTheWrongCaller(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair()
		var next core.Ticket
		var earlier []frame.Frame
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			p.randomStep(t, &next)
			earlier = append(earlier, p.toDialer...)
			p.corruptFrames(t, earlier)
		}
		for _, m := range []stateMachine{p.dialer, p.acceptor} {
			p.step(t, m, core.Down{})
		}
		if len(p.ended) != int(next) {
			t.Fatalf("%d of %d calls ended", len(p.ended), next)
		}
		p.checkNoDuplicateRuns(t)
	})
}

// corruptFrames applies one random fault to the frames in transit. earlier are the
// frames that were sent to the dialer before.
func (p *pair) corruptFrames(t *rapid.T, earlier []frame.Frame) {
	toDialer := rapid.Bool().Draw(t, "direction")
	q := &p.toAcceptor
	if toDialer {
		q = &p.toDialer
	}
	if len(*q) == 0 {
		return
	}
	i := rapid.IntRange(0, len(*q)-1).Draw(t, "frame")
	f := &(*q)[i]
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0: // duplicate
		*q = append(*q, *f)
	case 1: // drop
		*q = append((*q)[:i], (*q)[i+1:]...)
	case 2: // reorder
		p.deliver(t, toDialer, i)
	case 3: // truncate
		if n := len(f.Payload); n > 0 {
			f.Payload = f.Payload[:n/2]
		}
	case 4: // alter
		if n := len(f.Payload); n > 0 {
			f.Payload[n-1] ^= 1
		}
	case 5: // attribute to another call
		if toDialer && f.Type == frame.Response {
			f.Call = rapid.Uint64Range(1, 8).Draw(t, "call")
		}
	case 6: // attribute to another link
		if toDialer {
			f.Attempt++
		}
	case 7: // replay an earlier frame
		if toDialer && len(earlier) > 0 {
			g := rapid.SampledFrom(earlier).Draw(t, "earlier")
			if g.Type == frame.Response || g.Type == frame.HandlerError {
				p.step(t, p.dialer, core.Received{Frame: g})
			}
		}
	}
}

func TestLostConnectionReportsWhichCallsWereSent(t *testing.T) {
	p := newPair()
	p.startCall(t, 1, wire.KindSubmit, 10)
	p.step(t, p.dialer, core.Writable{}) // the first heartbeat
	p.step(t, p.dialer, core.Writable{}) // call 1, whole
	p.startCall(t, 2, wire.KindSubmit, 100_000)
	p.step(t, p.dialer, core.Writable{}) // call 2, the first of two chunks
	p.startCall(t, 3, wire.KindSubmit, 10)
	p.step(t, p.dialer, core.Down{})
	want := map[core.Ticket]core.FailureReason{1: core.OutcomeUnknown, 2: core.NotExecuted, 3: core.NotExecuted}
	for tk, why := range want {
		if f, ok := p.ended[tk].(core.Failed); !ok || f.Reason != why {
			t.Errorf("call %d: %#v, want %d", tk, p.ended[tk], why)
		}
	}
	p.startCall(t, 4, wire.KindSubmit, 10)
	if f, ok := p.ended[4].(core.Failed); !ok || f.Reason != core.NotExecuted {
		t.Errorf("call after Down: %#v", p.ended[4])
	}
}

// runNetwork runs both sides for d or until the link is closed, dropping the frames
// of the chosen directions, and returns the time since startTime.
func runNetwork(t *testing.T, p *pair, d time.Duration, dropToAcceptor, dropToDialer bool) time.Duration {
	t.Helper()
	for end := p.now.Add(d); p.now.Before(end) && !p.closed; p.now = p.now.Add(250 * time.Millisecond) {
		for _, m := range []stateMachine{p.dialer, p.acceptor} {
			p.step(t, m, core.Tick{})
			p.step(t, m, core.Writable{})
		}
		if dropToAcceptor {
			p.toAcceptor = nil
		}
		if dropToDialer {
			p.toDialer = nil
		}
		for len(p.toAcceptor) > 0 {
			p.deliver(t, false, 0)
		}
		for len(p.toDialer) > 0 {
			p.deliver(t, true, 0)
		}
	}
	return p.now.Sub(startTime)
}

func TestLinkWithoutCallsStaysOpen(t *testing.T) {
	p := newPair()
	runNetwork(t, p, time.Minute, false, false)
	if p.closed {
		t.Fatal("a working link was closed")
	}
}

func TestSilentLinkIsClosedWithinSeconds(t *testing.T) {
	for name, c := range map[string]struct{ dropToAcceptor, dropToDialer bool }{
		"both directions":  {true, true},
		"only to acceptor": {true, false},
		"only to dialer":   {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair()
			p.startCall(t, 1, wire.KindSubmit, 10)
			if took := runNetwork(t, p, time.Minute, c.dropToAcceptor, c.dropToDialer); !p.closed || took > 5*time.Second {
				t.Fatalf("closed: %v after %v", p.closed, took)
			}
		})
	}
}

func TestDialerDetectsOneWaySilenceByMissingEchoes(t *testing.T) {
	p := newPair()
	p.startCall(t, 1, wire.KindSubmit, 10)
	for range 40 {
		p.step(t, p.dialer, core.Tick{})
		p.step(t, p.dialer, core.Writable{})
		// The acceptor still sends heartbeats, but receives and so echoes none.
		p.step(t, p.dialer, core.Received{Frame: frame.Frame{Type: frame.Heartbeat, Call: uint64(p.now.Sub(startTime) / time.Second)}})
		p.now = p.now.Add(250 * time.Millisecond)
	}
	if f, ok := p.ended[1].(core.Failed); !p.closed || !ok || f.Reason != core.OutcomeUnknown {
		t.Fatalf("closed: %v, call: %#v", p.closed, p.ended[1])
	}
}

func TestIdleLinkIsClosed(t *testing.T) {
	l := limits()
	l.IdleTimeout = 10 * time.Second
	d := core.NewDialer(startTime, 1, l, nil)
	acts := d.Step(startTime.Add(2*time.Second), core.Tick{})
	if len(acts) == 0 || acts[0] != (core.FramesPending{}) {
		t.Fatalf("after 2 s: %#v", acts)
	}
	for s := 3; s < 12; s++ {
		now := startTime.Add(time.Duration(s) * time.Second)
		d.Step(now, core.Received{Frame: frame.Frame{Type: frame.Heartbeat, Call: uint64(s)}})
		for _, a := range d.Step(now, core.Tick{}) {
			if c, ok := a.(core.CloseLink); ok {
				if s < 10 || c.Reason != core.CloseReasonIdle {
					t.Fatalf("after %d s: %s", s, c.Reason)
				}
				return
			}
		}
	}
	t.Fatal("an idle link was kept open")
}

func TestDrainingAcceptorAnswersAcceptedCallsAndRefusesOthers(t *testing.T) {
	p := newPair()
	p.startCall(t, 1, wire.KindSubmit, 10)
	for range 3 {
		p.step(t, p.dialer, core.Writable{})
	}
	for len(p.toAcceptor) > 0 {
		p.deliver(t, false, 0)
	}
	p.step(t, p.acceptor, core.Drain{})
	p.startCall(t, 2, wire.KindSubmit, 10) // arrives while the acceptor drains
	p.step(t, p.dialer, core.Writable{})
	p.deliver(t, false, 0)
	p.startCall(t, 3, wire.KindSubmit, 10) // arrives after the GoAway
	p.step(t, p.dialer, core.Writable{})
	p.answer(t, 0, "")
	for range 8 {
		p.step(t, p.acceptor, core.Writable{})
	}
	p.deliver(t, false, 0)
	for len(p.toDialer) > 0 && !p.closed {
		p.deliver(t, true, 0)
	}
	if _, ok := p.ended[1].(core.Completed); !ok {
		t.Errorf("the accepted call: %#v", p.ended[1])
	}
	for _, tk := range []core.Ticket{2, 3} {
		if f, ok := p.ended[tk].(core.Failed); !ok || f.Reason != core.NotExecuted {
			t.Errorf("call %d: %#v", tk, p.ended[tk])
		}
	}
	if len(p.runningHandlers) != 0 {
		t.Error("a call was run after the GoAway")
	}
}

func TestShortCallIsNotDelayedByALongOne(t *testing.T) {
	p := newPair()
	p.startCall(t, 1, wire.KindSubmit, 500_000)
	p.startCall(t, 2, wire.KindSubmit, 10)
	for range 4 { // heartbeat, chunk of 1, call 2
		p.step(t, p.dialer, core.Writable{})
	}
	for len(p.toAcceptor) > 0 {
		p.deliver(t, false, 0)
	}
	if p.handlerRuns[p.bodies[2]] != 1 || p.handlerRuns[p.bodies[1]] != 0 {
		t.Fatal("the short call was delayed by the long one")
	}
}

func TestQueuesAreBounded(t *testing.T) {
	p := newPair()
	for tk := range core.Ticket(6) {
		p.startCall(t, tk+1, wire.KindSubmit, 10)
	}
	p.startCall(t, 7, wire.KindSubmit, 10)
	if f, ok := p.ended[7].(core.Failed); !ok || f.Reason != core.Overloaded {
		t.Errorf("call over MaxOpenCalls: %#v", p.ended[7])
	}
	p = newPair()
	p.startCall(t, 1, wire.KindSubmit, 500_000)
	p.startCall(t, 2, wire.KindSubmit, 500_000)
	p.startCall(t, 3, wire.KindSubmit, 500_000)
	if f, ok := p.ended[3].(core.Failed); !ok || f.Reason != core.Overloaded {
		t.Errorf("call over MaxQueueBytes: %#v", p.ended[3])
	}
	p.startCall(t, 4, wire.KindSubmit, 600_000)
	if f, ok := p.ended[4].(core.Failed); !ok || f.Reason != core.NotExecuted {
		t.Errorf("call over MaxMessageBytes: %#v", p.ended[4])
	}
}

func TestAssemblerMemoryIsBounded(t *testing.T) {
	a := core.NewAcceptor(startTime, limits(), nil)
	refused := 0
	for call := uint64(1); call <= 6; call++ {
		for off := 0; off < 4; off++ {
			a.Step(startTime, core.Received{Frame: frame.Frame{
				Type: frame.Request, Call: call, Offset: uint64(off * frame.ChunkBytes),
				Total: 500_000, Payload: make([]byte, frame.ChunkBytes),
			}})
		}
	}
	for range 20 {
		for _, act := range a.Step(startTime, core.Writable{}) {
			if w, ok := act.(core.Write); ok && w.Frame.Type == frame.Refuse {
				refused++
			}
		}
	}
	if refused != 2 { // 4 calls of 256 KiB fill the bound of 1 MiB
		t.Fatalf("%d of 6 incomplete requests refused, want 2", refused)
	}
}
