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

// pair is a dialer and an acceptor with the simulated network between them.
type pair struct {
	now      time.Time
	dialer   *core.Dialer
	acceptor *core.Acceptor
	// toAcceptor and toDialer are the frames in transit.
	toAcceptor, toDialer []frame.Frame
	// bodies are the requests of the calls.
	bodies map[core.Ticket]string
	// handlerRuns counts how often the handler was started, by request.
	handlerRuns     map[string]int
	runningHandlers []core.RunHandler
	// ended is the action by which each call ended.
	ended map[core.Ticket]core.Action
	// closed reports that either side has closed the link.
	closed bool
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

// step passes an event to one side and performs the resulting actions.
func (p *pair) step(t testingT, m stateMachine, ev core.Event) {
	t.Helper()
	for _, a := range m.Step(p.now, ev) {
		switch a := a.(type) {
		case core.Write:
			p.write(m, a.Frame)
		case core.Completed:
			p.recordEnd(t, a.Ticket, a)
		case core.Failed:
			p.recordEnd(t, a.Ticket, a)
		case core.RunHandler:
			p.handlerRuns[string(a.Body)]++
			p.runningHandlers = append(p.runningHandlers, a)
		case core.CloseLink:
			p.closed = true
		}
	}
}

// write adds a copy of a frame to those in transit, as a socket would.
func (p *pair) write(m stateMachine, f frame.Frame) {
	f.Payload = append([]byte(nil), f.Payload...)
	if m == stateMachine(p.dialer) {
		p.toAcceptor = append(p.toAcceptor, f)
		return
	}
	p.toDialer = append(p.toDialer, f)
}

func (p *pair) recordEnd(t testingT, tk core.Ticket, a core.Action) {
	t.Helper()
	if old, ok := p.ended[tk]; ok {
		t.Fatalf("call %d ended twice: %#v and %#v", tk, old, a)
	}
	p.ended[tk] = a
	if d, ok := a.(core.Completed); ok && string(d.Body) != "re:"+p.bodies[tk] {
		t.Fatalf("call %d got the answer %.20q, %d bytes, to %.20q", tk, d.Body, len(d.Body), p.bodies[tk])
	}
	if f, ok := a.(core.Failed); ok && (f.Reason == core.NotExecuted || f.Reason == core.Overloaded) && p.handlerRuns[p.bodies[tk]] > 0 {
		t.Fatalf("call %d is reported as not executed (%s), but its handler was started", tk, f.Text)
	}
}

// startCall starts a call whose body consists of its ticket and filler.
func (p *pair) startCall(t testingT, tk core.Ticket, kind wire.Kind, size int) {
	body := fmt.Sprintf("%d/%0*d", tk, size, tk)
	p.bodies[tk] = body
	p.step(t, p.dialer, core.StartCall{Ticket: tk, Kind: kind, Body: []byte(body)})
}

// answer completes the running handler at index i, with an error if fault is set.
func (p *pair) answer(t testingT, i int, fault string) {
	r := p.runningHandlers[i]
	p.runningHandlers = append(p.runningHandlers[:i], p.runningHandlers[i+1:]...)
	p.step(t, p.acceptor, core.HandlerDone{Call: r.Call, Body: append([]byte("re:"), r.Body...), Error: fault})
}

// deliver removes the frame at index i of a direction and passes it to its receiver.
func (p *pair) deliver(t testingT, toDialer bool, i int) {
	q, m := &p.toAcceptor, stateMachine(p.acceptor)
	if toDialer {
		q, m = &p.toDialer, stateMachine(p.dialer)
	}
	f := (*q)[i]
	*q = append((*q)[:i], (*q)[i+1:]...)
	p.step(t, m, core.Received{Frame: f})
}

// finishAll runs all open calls to their end without further faults.
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
	t.Fatalf("%d calls never ended", p.dialer.OpenCalls())
}

// randomStep performs one random step that a working network allows.
func (p *pair) randomStep(t *rapid.T, next *core.Ticket) {
	switch rapid.IntRange(0, 7).Draw(t, "step") {
	case 0:
		*next++
		size := rapid.SampledFrom([]int{1, 100, 70_000, 200_000}).Draw(t, "size")
		p.startCall(t, *next, rapid.SampledFrom([]wire.Kind{wire.KindSubmit, wire.KindSummary, wire.KindHeartbeat}).Draw(t, "kind"), size)
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
			p.answer(t, rapid.IntRange(0, len(p.runningHandlers)-1).Draw(t, "handler"), fault)
		}
	case 7:
		if *next > 0 {
			p.step(t, p.dialer, core.CancelCall{Ticket: core.Ticket(rapid.Uint64Range(1, uint64(*next)).Draw(t, "cancelled"))})
		}
	}
}

// checkNoDuplicateRuns fails if the handler of any request was started twice.
func (p *pair) checkNoDuplicateRuns(t testingT) {
	for body, n := range p.handlerRuns {
		if n > 1 {
			t.Fatalf("the handler of request %.20q was started %d times", body, n)
		}
	}
}
