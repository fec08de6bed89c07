package core

import (
	"maps"
	"slices"
	"time"

	"coltsfootmux/internal/link/frame"
)

// call is an open call of a Dialer.
type call struct {
	ticket Ticket
	lane   Priority
	msg    *message
	// sent says that the last chunk was handed to the socket.
	sent bool
}

// CloseReasonIdle is the reason for closing a link that nobody used for long.
const CloseReasonIdle = "idle"

// CloseReasonDrained is the reason for closing a link that the far side ended in good order.
const CloseReasonDrained = "far side has drained"

// Dialer is the calling side of one link.
type Dialer struct {
	limits  Limits
	attempt uint32
	beats   beats
	out     outbox
	in      inbox
	control []frame.Frame
	open    map[Ticket]*call
	byCall  map[uint64]*call
	last    uint64
	// used is when a call was last open.
	used time.Time
	down bool
	acts []Action
}

// NewDialer makes the calling side of a link that has just been dialled.
// budget may be nil.
func NewDialer(now time.Time, attempt uint32, l Limits, budget Budget) *Dialer {
	return &Dialer{
		limits: l, attempt: attempt, used: now,
		beats: newBeats(now, l), out: outbox{budget: budget}, in: newInbox(l),
		open: make(map[Ticket]*call), byCall: make(map[uint64]*call),
	}
}

// OpenCalls is how many calls have not ended.
func (d *Dialer) OpenCalls() int { return len(d.open) }

// Step takes an event. The actions are valid until the next Step.
func (d *Dialer) Step(now time.Time, ev Event) []Action {
	d.acts = d.acts[:0]
	if d.down {
		d.afterDown(ev)
		return d.acts
	}
	switch ev := ev.(type) {
	case StartCall:
		d.onOpen(now, ev)
	case CancelCall:
		d.onAbandon(ev.Ticket)
	case Received:
		d.onFrame(now, &ev.Frame)
	case Writable:
		d.onWritable(now)
	case Tick:
		d.onTick(now)
	case Down:
		d.onDown()
	}
	return d.acts
}

func (d *Dialer) do(a Action) { d.acts = append(d.acts, a) }

func (d *Dialer) afterDown(ev Event) {
	if o, ok := ev.(StartCall); ok {
		d.do(Failed{Ticket: o.Ticket, Reason: NotExecuted, Text: "link is down"})
	}
}

func (d *Dialer) onOpen(now time.Time, o StartCall) {
	if len(o.Body) > d.limits.MaxMessageBytes {
		d.do(Failed{Ticket: o.Ticket, Reason: NotExecuted, Text: "request over the size limit"})
		return
	}
	if len(d.open) >= d.limits.MaxOpenCalls || d.out.bytes+len(o.Body) > d.limits.MaxQueueBytes {
		d.do(Failed{Ticket: o.Ticket, Reason: Overloaded, Text: "queue of the link is full"})
		return
	}
	m := &message{typ: frame.Request, attempt: d.attempt, kind: o.Kind, body: o.Body}
	if o.Timeout > 0 {
		m.expires = now.Add(o.Timeout)
	}
	c := &call{ticket: o.Ticket, lane: PriorityOf(o.Kind), msg: m}
	m.owner = c
	d.open[o.Ticket] = c
	d.used = now
	d.out.put(c.lane, m)
	d.do(FramesPending{})
}

func (d *Dialer) onAbandon(t Ticket) {
	c := d.open[t]
	if c == nil {
		return
	}
	if c.msg.begun {
		d.control = append(d.control, frame.Frame{Type: frame.Cancel, Call: c.msg.call, Attempt: d.attempt})
		d.do(FramesPending{})
	}
	if !c.sent {
		d.out.drop(c.msg)
		d.end(c, NotExecuted, "given up before it was sent")
		return
	}
	d.end(c, OutcomeUnknown, "given up while it was open")
}

// end closes a call without an answer.
func (d *Dialer) end(c *call, why FailureReason, text string) {
	d.forget(c)
	d.do(Failed{Ticket: c.ticket, Reason: why, Text: text})
}

func (d *Dialer) forget(c *call) {
	delete(d.open, c.ticket)
	if c.msg.begun {
		delete(d.byCall, c.msg.call)
		d.in.drop(c.msg.call)
	}
}

func (d *Dialer) onFrame(now time.Time, f *frame.Frame) {
	d.beats.onFrame(now, f)
	if f.Type == frame.GoAway {
		d.onBye(f.Call)
		return
	}
	if f.Type == frame.Heartbeat || f.Attempt != d.attempt {
		return
	}
	c := d.byCall[f.Call]
	if c == nil || !c.sent && f.Type != frame.Refuse {
		return // late, doubled, or nobody's
	}
	switch f.Type {
	case frame.Response, frame.HandlerError:
		d.onAnswer(c, f)
	case frame.Refuse:
		d.onRefuse(c, f)
	}
}

// onBye ends the calls that the far side didn't take, and then the link.
func (d *Dialer) onBye(last uint64) {
	for _, c := range d.open {
		if c.msg.call > last {
			c.sent = false
		}
	}
	d.condemn(CloseReasonDrained)
}

func (d *Dialer) onAnswer(c *call, f *frame.Frame) {
	body, v := d.in.add(f)
	switch v {
	case partial:
	case tooLong:
		d.end(c, OutcomeUnknown, "answer over the size limit")
	case broken:
		d.condemn("answer with missing or changed chunks")
	case whole:
		d.forget(c)
		if f.Type == frame.HandlerError {
			d.do(Failed{Ticket: c.ticket, Reason: HandlerFailed, Text: string(body)})
			return
		}
		d.do(Completed{Ticket: c.ticket, Body: body})
	}
}

func (d *Dialer) onRefuse(c *call, f *frame.Frame) {
	if !c.sent {
		d.out.drop(c.msg)
	}
	why := Overloaded
	if f.Offset == refusedDraining {
		why = NotExecuted
	}
	d.end(c, why, refusalText(f.Offset))
}

func (d *Dialer) onWritable(now time.Time) {
	if f, ok := d.beats.next(now); ok {
		d.do(Write{Frame: f})
		return
	}
	if len(d.control) > 0 {
		f := d.control[0]
		d.control = d.control[1:]
		d.do(Write{Frame: f})
		return
	}
	m, lane, wait := d.out.head(now)
	if m == nil {
		if wait > 0 {
			d.do(Throttled{Wait: wait})
		}
		return
	}
	if !m.begun {
		d.number(m)
	}
	f, last := m.next(now)
	d.out.turn(lane, len(f.Payload), last)
	if last {
		d.byCall[m.call].sent = true
	}
	d.do(Write{Frame: f})
}

// number gives a message its call number; numbers rise on the wire.
func (d *Dialer) number(m *message) {
	d.last++
	m.call = d.last
	m.sum = frame.Checksum(m.typ, m.call, m.attempt, m.body)
	d.byCall[m.call] = m.owner
}

func (d *Dialer) onTick(now time.Time) {
	if why := d.beats.silent(now); why != "" {
		d.condemn(why)
		return
	}
	if len(d.open) > 0 {
		d.used = now
	}
	if now.Sub(d.used) >= d.limits.IdleTimeout {
		d.condemn(CloseReasonIdle)
		return
	}
	if !now.Before(d.beats.due) {
		d.do(FramesPending{})
	}
}

func (d *Dialer) condemn(reason string) {
	d.do(CloseLink{Reason: reason})
	d.onDown()
}

// onDown ends every open call, in the order they were opened.
func (d *Dialer) onDown() {
	d.down = true
	for _, t := range slices.Sorted(maps.Keys(d.open)) {
		c := d.open[t]
		why := NotExecuted
		if c.sent {
			why = OutcomeUnknown
		}
		d.end(c, why, "link went down")
	}
}
