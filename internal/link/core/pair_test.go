package core_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"coltsfootmux/internal/link/core"
	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"

	_ "coltsfootmux/internal/testseed"
)

var startTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// stateMachine is either side of a link.
type stateMachine interface {
	Step(now time.Time, ev core.Event) []core.Action
}

// pair is a dialer and an acceptor with the frames between them.
type pair struct {
	now      time.Time
	dialer   *core.Dialer
	acceptor *core.Acceptor
	// toAcceptor and toDialer are the frames on their way.
	toAcceptor, toDialer []frame.Frame
	// sent says which tickets' calls had their last chunk written.
	bodies          map[core.Ticket]string
	handlerRuns     map[string]int
	runningHandlers []core.RunHandler
	ended           map[core.Ticket]core.Action
	closed          bool
}

func limits() core.Limits {
	return core.Limits{
		HeartbeatInterval: time.Second, SilenceTimeout: 3 * time.Second, IdleTimeout: time.Hour,
		MaxOpenCalls: 6, MaxQueueBytes: 1 << 20, MaxMessageBytes: 512 << 10, MaxAssemblyBytes: 1 << 20,
	}
}

func newPair() *pair {
	return &pair{
		now:    startTime,
		dialer: core.NewDialer(startTime, 1, limits(), nil), acceptor: core.NewAcceptor(startTime, limits(), nil),
		bodies: make(map[core.Ticket]string), handlerRuns: make(map[string]int), ended: make(map[core.Ticket]core.Action),
	}
}

// testingT is a *testing.T or a *rapid.T.
type testingT interface {
	Fatalf(format string, args ...any)
	Helper()
}

// step drives one side and carries its actions out.
func (p *pair) step(t testingT, m stateMachine, ev core.Event) {
	t.Helper()
	for _, a := range m.Step(p.now, ev) {
		switch a := a.(type) {
		case core.Write:
			p.write(m, a.Frame)
		case core.Completed:
			p.end(t, a.Ticket, a)
		case core.Failed:
			p.end(t, a.Ticket, a)
		case core.RunHandler:
			p.handlerRuns[string(a.Body)]++
			p.runningHandlers = append(p.runningHandlers, a)
		case core.CloseLink:
			p.closed = true
		}
	}
}

// write puts a copy of a frame on its way, as a socket does.
func (p *pair) write(m stateMachine, f frame.Frame) {
	f.Payload = append([]byte(nil), f.Payload...)
	if m == stateMachine(p.dialer) {
		p.toAcceptor = append(p.toAcceptor, f)
		return
	}
	p.toDialer = append(p.toDialer, f)
}

func (p *pair) end(t testingT, tk core.Ticket, a core.Action) {
	t.Helper()
	if old, ok := p.ended[tk]; ok {
		t.Fatalf("call %d ended twice: %#v and %#v", tk, old, a)
	}
	p.ended[tk] = a
	if d, ok := a.(core.Completed); ok && string(d.Body) != "re:"+p.bodies[tk] {
		t.Fatalf("call %d got the answer %.20q, %d bytes, to %.20q", tk, d.Body, len(d.Body), p.bodies[tk])
	}
	if f, ok := a.(core.Failed); ok && (f.Reason == core.NotExecuted || f.Reason == core.Overloaded) && p.handlerRuns[p.bodies[tk]] > 0 {
		t.Fatalf("call %d is said not to have run (%s) and was handed to its handler", tk, f.Text)
	}
}

// open makes a call whose body is its own number and filler.
func (p *pair) open(t testingT, tk core.Ticket, kind wire.Kind, size int) {
	body := fmt.Sprintf("%d/%0*d", tk, size, tk)
	p.bodies[tk] = body
	p.step(t, p.dialer, core.StartCall{Ticket: tk, Kind: kind, Body: []byte(body)})
}

// answer lets the handler at index i answer.
func (p *pair) answer(t testingT, i int, fault string) {
	r := p.runningHandlers[i]
	p.runningHandlers = append(p.runningHandlers[:i], p.runningHandlers[i+1:]...)
	p.step(t, p.acceptor, core.HandlerDone{Call: r.Call, Body: append([]byte("re:"), r.Body...), Error: fault})
}

// deliver hands over the frame at index i of a direction and takes it out.
func (p *pair) deliver(t testingT, toDialer bool, i int) {
	q, m := &p.toAcceptor, stateMachine(p.acceptor)
	if toDialer {
		q, m = &p.toDialer, stateMachine(p.dialer)
	}
	f := (*q)[i]
	*q = append((*q)[:i], (*q)[i+1:]...)
	p.step(t, m, core.Received{Frame: f})
}

// finishAll lets everything that is under way end on a perfect network.
func (p *pair) finishAll(t testingT) {
	for range 10000 {
		before := len(p.toAcceptor) + len(p.toDialer) + len(p.runningHandlers)
		p.step(t, p.dialer, core.Writable{})
		p.step(t, p.acceptor, core.Writable{})
		for len(p.toAcceptor) > 0 {
			p.deliver(t, false, 0)
		}
		for len(p.toDialer) > 0 {
			p.deliver(t, true, 0)
		}
		for len(p.runningHandlers) > 0 {
			p.answer(t, 0, "")
		}
		if before == 0 && p.dialer.OpenCalls() == 0 {
			return
		}
	}
	t.Fatalf("%d calls open for ever", p.dialer.OpenCalls())
}

// drawCalls does random things that a sound network allows.
func (p *pair) randomStep(t *rapid.T, next *core.Ticket) {
	switch rapid.IntRange(0, 7).Draw(t, "what") {
	case 0:
		*next++
		size := rapid.SampledFrom([]int{1, 100, 70_000, 200_000}).Draw(t, "size")
		p.open(t, *next, rapid.SampledFrom([]wire.Kind{wire.KindSubmit, wire.KindSummary, wire.KindHeartbeat}).Draw(t, "kind"), size)
	case 1, 2:
		p.step(t, p.dialer, core.Writable{})
	case 3, 4:
		p.step(t, p.acceptor, core.Writable{})
	case 5:
		if len(p.toAcceptor) > 0 {
			p.deliver(t, false, 0)
		}
		if len(p.toDialer) > 0 {
			p.deliver(t, true, 0)
		}
	case 6:
		if len(p.runningHandlers) > 0 {
			fault := rapid.SampledFrom([]string{"", "", "broken"}).Draw(t, "fault")
			p.answer(t, rapid.IntRange(0, len(p.runningHandlers)-1).Draw(t, "which"), fault)
		}
	case 7:
		if *next > 0 {
			p.step(t, p.dialer, core.CancelCall{Ticket: core.Ticket(rapid.Uint64Range(1, uint64(*next)).Draw(t, "abandon"))})
		}
	}
}

// checkNoDuplicateRuns holds that no request was handed over twice.
func (p *pair) checkNoDuplicateRuns(t testingT) {
	for body, n := range p.handlerRuns {
		if n > 1 {
			t.Fatalf("request %.20q was handed over %d times", body, n)
		}
	}
}
