package core

import (
	"maps"
	"slices"
	"time"

	"coltsfootmux/internal/link/frame"
)

// outgoingCall is an open call of a Dialer.
type outgoingCall struct {
	ticket   Ticket
	priority Priority
	request  *message
	// sent reports that the last chunk was handed to the socket.
	sent bool
}

// CloseReasonIdle is the reason for closing a link without calls for IdleTimeout.
const CloseReasonIdle = "idle"

// CloseReasonDrained is the reason for closing a link on which a GoAway was received.
const CloseReasonDrained = "peer has drained"

// Dialer is the state machine of the calling side of one link.
type Dialer struct {
	limits        Limits
	attempt       uint32
	heartbeats    heartbeats
	sending       sendQueue
	receiving     assembler
	controlFrames []frame.Frame
	openCalls     map[Ticket]*outgoingCall
	callsByNumber map[uint64]*outgoingCall
	lastCall      uint64
	// lastUsed is the last time at which a call was open.
	lastUsed time.Time
	down     bool
	actions  []Action
}

// NewDialer returns the calling side of a link that was just dialled. attempt is
// the Attempt of its frames. A nil budget sets no bound.
func NewDialer(now time.Time, attempt uint32, l Limits, budget Budget) *Dialer {
	return &Dialer{
		limits: l, attempt: attempt, lastUsed: now,
		heartbeats: newHeartbeats(now, l), sending: sendQueue{budget: budget}, receiving: newAssembler(l),
		openCalls: make(map[Ticket]*outgoingCall), callsByNumber: make(map[uint64]*outgoingCall),
	}
}

// OpenCalls returns the number of calls that have not ended.
func (d *Dialer) OpenCalls() int { return len(d.openCalls) }

// Worked returns the time from the opening of the link to the last frame that was received.
func (d *Dialer) Worked() time.Duration { return d.heartbeats.worked() }

// Step handles an event and returns the actions that follow from it. The slice is
// valid until the next Step.
func (d *Dialer) Step(now time.Time, ev Event) []Action {
	d.actions = d.actions[:0]
	if d.down {
		d.afterDown(ev)
		return d.actions
	}
	switch ev := ev.(type) {
	case StartCall:
		d.onStartCall(now, ev)
	case CancelCall:
		d.onCancelCall(ev.Ticket)
	case Received:
		d.onFrame(now, &ev.Frame)
	case Writable:
		d.onWritable(now)
	case Tick:
		d.onTick(now, ev)
	case Down:
		d.onDown()
	}
	return d.actions
}

func (d *Dialer) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Dialer) afterDown(ev Event) {
	if o, ok := ev.(StartCall); ok {
		d.emit(Failed{Ticket: o.Ticket, Reason: NotExecuted, Text: "link is down"})
	}
}

func (d *Dialer) onStartCall(now time.Time, o StartCall) {
	if len(o.Body) > d.limits.MaxMessageBytes {
		d.emit(Failed{Ticket: o.Ticket, Reason: NotExecuted, Text: "request exceeds the size limit"})
		return
	}
	if len(d.openCalls) >= d.limits.MaxOpenCalls || d.sending.bytes+len(o.Body) > d.limits.MaxQueueBytes {
		d.emit(Failed{Ticket: o.Ticket, Reason: Overloaded, Text: "send queue of the link is full"})
		return
	}
	m := &message{typ: frame.Request, attempt: d.attempt, kind: o.Kind, body: o.Body}
	if o.Timeout > 0 {
		m.expires = now.Add(o.Timeout)
	}
	c := &outgoingCall{ticket: o.Ticket, priority: PriorityOf(o.Kind), request: m}
	m.outgoing = c
	d.openCalls[o.Ticket] = c
	d.lastUsed = now
	d.sending.push(c.priority, m)
	d.emit(FramesPending{})
}

func (d *Dialer) onCancelCall(t Ticket) {
	c := d.openCalls[t]
	if c == nil {
		return
	}
	if c.request.started {
		d.controlFrames = append(d.controlFrames, frame.Frame{Type: frame.Cancel, Call: c.request.call, Attempt: d.attempt})
		d.emit(FramesPending{})
	}
	if !c.sent {
		d.sending.remove(c.request)
		d.fail(c, NotExecuted, "cancelled before the request was sent")
		return
	}
	d.fail(c, OutcomeUnknown, "cancelled after the request was sent")
}

// fail ends a call without an answer.
func (d *Dialer) fail(c *outgoingCall, why FailureReason, text string) {
	d.remove(c)
	d.emit(Failed{Ticket: c.ticket, Reason: why, Text: text})
}

func (d *Dialer) remove(c *outgoingCall) {
	delete(d.openCalls, c.ticket)
	if c.request.started {
		delete(d.callsByNumber, c.request.call)
		d.receiving.discard(c.request.call)
	}
}

func (d *Dialer) onFrame(now time.Time, f *frame.Frame) {
	d.heartbeats.onFrame(now, f)
	if f.Type == frame.GoAway {
		d.onGoAway(now, f.Call)
		return
	}
	if f.Type == frame.Heartbeat || f.Attempt != d.attempt {
		return
	}
	c := d.callsByNumber[f.Call]
	if c == nil || !c.sent && f.Type != frame.Refuse {
		return // late, duplicate, or of an unknown call
	}
	switch f.Type {
	case frame.Response, frame.HandlerError:
		d.onResponse(now, c, f)
	case frame.Refuse:
		d.onRefuse(c, f)
	}
}

// onGoAway closes the link. Calls with a higher number than lastCall were not executed.
func (d *Dialer) onGoAway(now time.Time, lastCall uint64) {
	for _, c := range d.openCalls {
		if c.request.call > lastCall {
			c.sent = false
		}
	}
	d.closeLink(now, CloseReasonDrained)
}

func (d *Dialer) onResponse(now time.Time, c *outgoingCall, f *frame.Frame) {
	body, result := d.receiving.add(f)
	switch result {
	case incomplete:
	case tooLong:
		d.fail(c, OutcomeUnknown, "answer exceeds the size limit")
	case corrupt:
		d.closeLink(now, "answer with missing or altered chunks")
	case complete:
		d.remove(c)
		if f.Type == frame.HandlerError {
			d.emit(Failed{Ticket: c.ticket, Reason: HandlerFailed, Text: string(body)})
			return
		}
		d.emit(Completed{Ticket: c.ticket, Body: body})
	}
}

func (d *Dialer) onRefuse(c *outgoingCall, f *frame.Frame) {
	if !c.sent {
		d.sending.remove(c.request)
	}
	why := Overloaded
	if f.Offset == refusedDraining {
		why = NotExecuted
	}
	d.fail(c, why, refusalText(f.Offset))
}

func (d *Dialer) onWritable(now time.Time) {
	if f, ok := d.heartbeats.next(now); ok {
		d.emit(Write{Frame: f})
		return
	}
	if len(d.controlFrames) > 0 {
		f := d.controlFrames[0]
		d.controlFrames = d.controlFrames[1:]
		d.emit(Write{Frame: f})
		return
	}
	m, priority, wait := d.sending.next(now)
	if m == nil {
		if wait > 0 {
			d.emit(Throttled{Wait: wait})
		}
		return
	}
	if !m.started {
		d.assignNumber(m)
	}
	f, last := m.nextChunk(now)
	d.sending.rotate(priority, len(f.Payload), last)
	if last {
		d.callsByNumber[m.call].sent = true
	}
	d.emit(Write{Frame: f})
}

// assignNumber gives a call its number when its first frame is sent, so that
// numbers increase in the order of sending.
func (d *Dialer) assignNumber(m *message) {
	d.lastCall++
	m.call = d.lastCall
	m.sum = frame.Checksum(m.typ, m.call, m.attempt, m.body)
	d.callsByNumber[m.call] = m.outgoing
}

func (d *Dialer) onTick(now time.Time, ev Tick) {
	if why := d.heartbeats.check(now, ev.PartialBytes); why != "" {
		d.closeLink(now, why)
		return
	}
	if len(d.openCalls) > 0 {
		d.lastUsed = now
	}
	if now.Sub(d.lastUsed) >= d.limits.IdleTimeout {
		d.closeLink(now, CloseReasonIdle)
		return
	}
	if !now.Before(d.heartbeats.nextDue) {
		d.emit(FramesPending{})
	}
}

func (d *Dialer) closeLink(now time.Time, reason string) {
	d.emit(CloseLink{Reason: reason, Health: d.heartbeats.health(now, d.sending.bytes)})
	d.onDown()
}

// onDown ends all open calls, in the order in which they were made.
func (d *Dialer) onDown() {
	d.down = true
	for _, ticket := range slices.Sorted(maps.Keys(d.openCalls)) {
		c := d.openCalls[ticket]
		why := NotExecuted
		if c.sent {
			why = OutcomeUnknown
		}
		d.fail(c, why, "link went down")
	}
}
