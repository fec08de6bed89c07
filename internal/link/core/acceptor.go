package core

import (
	"maps"
	"slices"
	"time"

	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

// incomingCall is an open call of an Acceptor.
type incomingCall struct {
	kind    wire.Kind
	attempt uint32
	// running reports that its handler has started and not returned yet.
	running bool
	// cancelled reports that the caller no longer waits for the answer.
	cancelled bool
	// answer is what the handler returned, until it is sent.
	answer *message
	// held is the memory that is counted for the call.
	held int
}

// Acceptor is the state machine of the answering side of one link.
type Acceptor struct {
	limits        Limits
	memory        Memory
	heartbeats    heartbeats
	sending       sendQueue
	receiving     assembler
	controlFrames []frame.Frame
	openCalls     map[uint64]*incomingCall
	// lastCall is the highest call number received.
	lastCall uint64
	draining bool
	// goAwaySent reports that the link was shut down by a GoAway frame. Requests
	// that arrive later are ignored.
	goAwaySent bool
	down       bool
	actions    []Action
}

// NewAcceptor returns the answering side of a link that was just accepted.
// A nil budget sets no bound.
func NewAcceptor(now time.Time, l Limits, budget Budget) *Acceptor {
	return &Acceptor{
		limits: l, heartbeats: newHeartbeats(now, l),
		sending: sendQueue{budget: budget}, receiving: newAssembler(l), openCalls: make(map[uint64]*incomingCall),
	}
}

// Step handles an event and returns the actions that follow from it. The slice is
// valid until the next Step.
func (a *Acceptor) Step(now time.Time, ev Event) []Action {
	a.actions = a.actions[:0]
	if a.down {
		return a.actions
	}
	switch ev := ev.(type) {
	case Received:
		a.onFrame(now, &ev.Frame)
	case HandlerDone:
		a.onHandlerDone(now, ev)
	case Writable:
		a.onWritable(now)
	case Tick:
		a.onTick(now, ev)
	case Drain:
		a.draining = true
		a.emit(FramesPending{})
	case Down:
		a.onDown()
	}
	return a.actions
}

func (a *Acceptor) emit(act Action) { a.actions = append(a.actions, act) }

func (a *Acceptor) idle() bool {
	return len(a.openCalls) == 0 && len(a.controlFrames) == 0 && a.sending.empty()
}

func (a *Acceptor) onFrame(now time.Time, f *frame.Frame) {
	a.heartbeats.onFrame(now, f)
	switch {
	case a.goAwaySent:
	case f.Type == frame.Request:
		a.onRequest(now, f)
	case f.Type == frame.Cancel:
		a.onCancel(now, f)
	}
}

func (a *Acceptor) onRequest(now time.Time, f *frame.Frame) {
	if f.Offset == 0 {
		if f.Call <= a.lastCall {
			return // duplicate
		}
		a.lastCall = f.Call
		if !a.admit(now, f) {
			return
		}
	}
	c := a.openCalls[f.Call]
	if c == nil || c.running || c.answer != nil || c.attempt != f.Attempt {
		return // late, duplicate or refused
	}
	if !a.holdRequest(now, c, f) {
		a.receiving.discard(f.Call)
		a.end(now, f.Call)
		a.refuse(now, f, refusedOverloaded)
		return
	}
	body, result := a.receiving.add(f)
	switch result {
	case incomplete:
	case corrupt:
		a.closeLink(now, "request with missing or altered chunks")
	case tooLong:
		a.end(now, f.Call)
		a.refuse(now, f, refusedTooLong)
	case complete:
		c.running = true
		a.emit(RunHandler{Call: f.Call, Kind: f.Kind, Body: body, Timeout: f.Timeout})
	}
}

// admit opens a call, or refuses it if the link is draining or a bound is reached.
func (a *Acceptor) admit(now time.Time, f *frame.Frame) bool {
	if a.draining {
		a.refuse(now, f, refusedDraining)
		return false
	}
	if len(a.openCalls) >= a.limits.MaxOpenCalls || a.sending.bytes > a.limits.MaxQueueBytes {
		a.refuse(now, f, refusedOverloaded)
		return false
	}
	c := &incomingCall{kind: f.Kind, attempt: f.Attempt}
	if !a.hold(now, c, 0) {
		a.refuse(now, f, refusedOverloaded)
		return false
	}
	a.openCalls[f.Call] = c
	return true
}

func (a *Acceptor) refuse(now time.Time, f *frame.Frame, code uint64) {
	a.controlFrames = append(a.controlFrames, frame.Frame{
		Type: frame.Refuse, Call: f.Call, Attempt: f.Attempt, Kind: f.Kind, Offset: code, Total: code,
	})
	if len(a.controlFrames) > a.limits.MaxOpenCalls {
		a.closeLink(now, "refusals are not read")
		return
	}
	a.emit(FramesPending{})
}

func (a *Acceptor) onCancel(now time.Time, f *frame.Frame) {
	c := a.openCalls[f.Call]
	if c == nil || c.attempt != f.Attempt {
		return
	}
	if c.running {
		c.cancelled = true
		a.emit(CancelHandler{Call: f.Call})
		return
	}
	a.end(now, f.Call)
	a.receiving.discard(f.Call)
	if c.answer != nil {
		a.sending.remove(c.answer)
	}
}

func (a *Acceptor) onHandlerDone(now time.Time, ev HandlerDone) {
	c := a.openCalls[ev.Call]
	if c == nil || !c.running {
		return
	}
	a.emit(FramesPending{})
	c.running = false
	if c.cancelled {
		a.end(now, ev.Call)
		return
	}
	typ, body := frame.Response, ev.Body
	if ev.Error != "" {
		typ, body = frame.HandlerError, []byte(ev.Error)
	}
	if len(body) > a.limits.MaxMessageBytes {
		typ, body = frame.HandlerError, []byte("answer exceeds the size limit")
	}
	if !a.hold(now, c, len(body)) {
		typ, body = frame.HandlerError, []byte(textNoMemory)
		a.hold(now, c, len(body))
	}
	c.answer = &message{
		typ: typ, call: ev.Call, attempt: c.attempt, kind: c.kind, body: body,
		sum: frame.Checksum(typ, ev.Call, c.attempt, body),
	}
	a.sending.push(PriorityOf(c.kind), c.answer)
}

func (a *Acceptor) onWritable(now time.Time) {
	if f, ok := a.heartbeats.next(now); ok {
		a.emit(Write{Frame: f})
		return
	}
	if len(a.controlFrames) > 0 {
		f := a.controlFrames[0]
		a.controlFrames = a.controlFrames[1:]
		a.emit(Write{Frame: f})
		return
	}
	m, priority, wait := a.sending.next(now)
	if m == nil {
		a.onNothingToSend(wait)
		return
	}
	f, last := m.nextChunk(now)
	a.sending.rotate(priority, len(f.Payload), last)
	if last {
		a.end(now, m.call)
	} else if c := a.openCalls[m.call]; c != nil {
		a.hold(now, c, len(m.body)-m.sent)
	}
	a.emit(Write{Frame: f})
}

// onNothingToSend is called when no frame can be sent now. A positive wait is how
// long the budget delays the next one.
func (a *Acceptor) onNothingToSend(wait time.Duration) {
	switch {
	case wait > 0:
		a.emit(Throttled{Wait: wait})
	case a.goAwaySent:
		a.emit(Drained{})
	case a.draining && a.idle():
		a.goAwaySent = true
		a.emit(Write{Frame: frame.Frame{Type: frame.GoAway, Call: a.lastCall}})
	}
}

func (a *Acceptor) onTick(now time.Time, ev Tick) {
	if why := a.heartbeats.check(now, ev.PartialBytes); why != "" {
		a.closeLink(now, why)
		return
	}
	if !now.Before(a.heartbeats.nextDue) {
		a.emit(FramesPending{})
	}
}

func (a *Acceptor) closeLink(now time.Time, reason string) {
	a.emit(CloseLink{Reason: reason, Health: a.heartbeats.health(now, a.sending.bytes)})
	a.onDown()
}

// onDown cancels all running handlers, in the order of their calls.
func (a *Acceptor) onDown() {
	a.down = true
	for _, id := range slices.Sorted(maps.Keys(a.openCalls)) {
		if a.openCalls[id].running {
			a.emit(CancelHandler{Call: id})
		}
	}
	clear(a.openCalls)
	a.sending, a.receiving = sendQueue{}, newAssembler(a.limits)
}
