package core_test

import (
	"testing"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

// pairWithLongAnswer returns a pair with the three chunks of an answer in transit.
func pairWithLongAnswer(t *testing.T) *pair {
	t.Helper()
	p := newPair()
	p.startCall(t, 1, wire.KindSubmit, 75_000)
	for range 4 {
		p.step(t, p.dialer, core.Writable{})
	}
	for len(p.toAcceptor) > 0 {
		p.deliver(t, false, 0)
	}
	p.answer(t, 0, "")
	for range 3 {
		p.step(t, p.acceptor, core.Writable{})
	}
	p.toDialer = p.toDialer[1:] // the heartbeat
	if len(p.toDialer) != 2 {
		t.Fatalf("%d frames in transit, want 2", len(p.toDialer))
	}
	p.step(t, p.acceptor, core.Writable{})
	return p
}

func TestDuplicateAndUnknownFramesAreIgnored(t *testing.T) {
	for name, inject := range map[string]func(p *pair){
		"a duplicate chunk": func(p *pair) { p.toDialer = append(p.toDialer[:1], p.toDialer...) },
		"a chunk of an earlier link's call": func(p *pair) {
			p.prependChanged(func(f *frame.Frame) { f.Attempt, f.Payload = f.Attempt+1, f.Payload[:9] })
		},
		"a chunk of an unknown call": func(p *pair) { p.prependChanged(func(f *frame.Frame) { f.Call += 7 }) },
		"a refusal of an unknown call": func(p *pair) {
			p.prependChanged(func(f *frame.Frame) { *f = frame.Frame{Type: frame.Refuse, Call: 9, Attempt: 1} })
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := pairWithLongAnswer(t)
			inject(p)
			for len(p.toDialer) > 0 {
				p.deliver(t, true, 0)
			}
			if _, ok := p.ended[1].(core.Completed); !ok || p.closed {
				t.Fatalf("call: %#v, link closed: %v", p.ended[1], p.closed)
			}
		})
	}
}

// prependChanged inserts a changed copy of the first frame to the dialer before it.
func (p *pair) prependChanged(change func(*frame.Frame)) {
	f := p.toDialer[0]
	change(&f)
	p.toDialer = append([]frame.Frame{f}, p.toDialer...)
}

func TestLinkWithMissingOrAlteredChunksIsClosed(t *testing.T) {
	for name, corrupt := range map[string]func(p *pair){
		"a lost chunk":            func(p *pair) { p.toDialer = append(p.toDialer[:1], p.toDialer[2:]...) },
		"an altered byte":         func(p *pair) { p.toDialer[1].Payload[5] ^= 1 },
		"an altered length":       func(p *pair) { p.toDialer[1].Total-- },
		"an altered checksum":     func(p *pair) { p.toDialer[0].Sum++ },
		"a chunk of another type": func(p *pair) { p.toDialer[1].Type = frame.HandlerError },
	} {
		t.Run(name, func(t *testing.T) {
			p := pairWithLongAnswer(t)
			corrupt(p)
			for len(p.toDialer) > 0 {
				p.deliver(t, true, 0)
			}
			if f, ok := p.ended[1].(core.Failed); !p.closed || !ok || f.Reason != core.OutcomeUnknown {
				t.Fatalf("call: %#v, link closed: %v", p.ended[1], p.closed)
			}
		})
	}
}

func TestAnswerToACallThatIsStillBeingSentIsIgnored(t *testing.T) {
	p := newPair()
	p.startCall(t, 1, wire.KindSubmit, 75_000)
	p.step(t, p.dialer, core.Writable{}) // heartbeat
	p.step(t, p.dialer, core.Writable{}) // the first chunk
	body := []byte("early")
	p.step(t, p.dialer, core.Received{Frame: frame.Frame{
		Type: frame.Response, Call: 1, Attempt: 1, Total: 5, Payload: body, Sum: frame.Checksum(frame.Response, 1, 1, body),
	}})
	if p.ended[1] != nil || p.closed {
		t.Fatalf("call: %#v, link closed: %v", p.ended[1], p.closed)
	}
}

func TestDuplicateRequestRunsOnce(t *testing.T) {
	p := newPair()
	p.startCall(t, 1, wire.KindSubmit, 50_000)
	for range 3 {
		p.step(t, p.dialer, core.Writable{})
	}
	p.toAcceptor = append(p.toAcceptor, p.toAcceptor...)
	for len(p.toAcceptor) > 0 {
		p.deliver(t, false, 0)
	}
	p.checkNoDuplicateRuns(t)
	if p.closed || len(p.runningHandlers) != 1 {
		t.Fatalf("running %d, link closed: %v", len(p.runningHandlers), p.closed)
	}
}

func TestGoAwayIsSentOnceAndThenTheLinkIsDrained(t *testing.T) {
	a := core.NewAcceptor(startTime, limits(), nil)
	a.Step(startTime, core.Drain{})
	goAways, drained := 0, 0
	for range 6 {
		for _, act := range a.Step(startTime, core.Writable{}) {
			if w, ok := act.(core.Write); ok && w.Frame.Type == frame.GoAway {
				goAways++
			}
			if _, ok := act.(core.Drained); ok {
				drained++
			}
		}
	}
	if goAways != 1 || drained == 0 {
		t.Fatalf("%d GoAway frames, drained %d times", goAways, drained)
	}
}
