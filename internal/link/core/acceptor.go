package core

import (
	"maps"
	"slices"
	"time"

	"coltsfootmux/internal/link/frame"
	"coltsfootmux/internal/wire"
)

// job is an open call of an Acceptor.
type job struct {
	kind    wire.Kind
	attempt uint32
	// running says that its handler was started and has not answered.
	running bool
	// cancelled says that nobody waits for its answer.
	cancelled bool
	// msg is its answer on the way out.
	msg *message
}

// Acceptor is the answering side of one link.
type Acceptor struct {
	limits   Limits
	beats    beats
	out      outbox
	in       inbox
	control  []frame.Frame
	open     map[uint64]*job
	last     uint64
	draining bool
	// bye says that the link was ended in good order: no request counts any more.
	bye  bool
	down bool
	acts []Action
}

// NewAcceptor makes the answering side of a link that was just accepted.
// budget may be nil.
func NewAcceptor(now time.Time, l Limits, budget Budget) *Acceptor {
	return &Acceptor{
		limits: l, beats: newBeats(now, l),
		out: outbox{budget: budget}, in: newInbox(l), open: make(map[uint64]*job),
	}
}

// Step takes an event. The actions are valid until the next Step.
func (a *Acceptor) Step(now time.Time, ev Event) []Action {
	a.acts = a.acts[:0]
	if a.down {
		return a.acts
	}
	switch ev := ev.(type) {
	case Received:
		a.onFrame(now, &ev.Frame)
	case HandlerDone:
		a.onAnswered(ev)
	case Writable:
		a.onWritable(now)
	case Tick:
		a.onTick(now)
	case Drain:
		a.draining = true
		a.do(FramesPending{})
	case Down:
		a.onDown()
	}
	return a.acts
}

func (a *Acceptor) do(act Action) { a.acts = append(a.acts, act) }

func (a *Acceptor) idle() bool {
	return len(a.open) == 0 && len(a.control) == 0 && a.out.empty()
}

func (a *Acceptor) onFrame(now time.Time, f *frame.Frame) {
	a.beats.onFrame(now, f)
	switch {
	case a.bye:
	case f.Type == frame.Request:
		a.onRequest(f)
	case f.Type == frame.Cancel:
		a.onCancel(f)
	}
}

func (a *Acceptor) onRequest(f *frame.Frame) {
	if f.Offset == 0 {
		if f.Call <= a.last {
			return // doubled
		}
		a.last = f.Call
		if !a.admit(f) {
			return
		}
	}
	j := a.open[f.Call]
	if j == nil || j.running || j.msg != nil || j.attempt != f.Attempt {
		return // late, doubled or refused
	}
	body, v := a.in.add(f)
	switch v {
	case partial:
	case broken:
		a.condemn("request with missing or changed chunks")
	case tooLong:
		delete(a.open, f.Call)
		a.refuse(f, refusedTooLong)
	case whole:
		j.running = true
		a.do(RunHandler{Call: f.Call, Kind: f.Kind, Body: body, Timeout: f.Timeout})
	}
}

// admit opens a call unless a bound is reached.
func (a *Acceptor) admit(f *frame.Frame) bool {
	if a.draining {
		a.refuse(f, refusedDraining)
		return false
	}
	if len(a.open) >= a.limits.MaxOpenCalls || a.out.bytes > a.limits.MaxQueueBytes {
		a.refuse(f, refusedOverloaded)
		return false
	}
	a.open[f.Call] = &job{kind: f.Kind, attempt: f.Attempt}
	return true
}

func (a *Acceptor) refuse(f *frame.Frame, code uint64) {
	a.control = append(a.control, frame.Frame{
		Type: frame.Refuse, Call: f.Call, Attempt: f.Attempt, Kind: f.Kind, Offset: code, Total: code,
	})
	a.do(FramesPending{})
}

func (a *Acceptor) onCancel(f *frame.Frame) {
	j := a.open[f.Call]
	if j == nil || j.attempt != f.Attempt {
		return
	}
	if j.running {
		j.cancelled = true
		a.do(CancelHandler{Call: f.Call})
		return
	}
	delete(a.open, f.Call)
	a.in.drop(f.Call)
	if j.msg != nil {
		a.out.drop(j.msg)
	}
}

func (a *Acceptor) onAnswered(ev HandlerDone) {
	j := a.open[ev.Call]
	if j == nil || !j.running {
		return
	}
	a.do(FramesPending{})
	j.running = false
	if j.cancelled {
		delete(a.open, ev.Call)
		return
	}
	typ, body := frame.Response, ev.Body
	if ev.Error != "" {
		typ, body = frame.HandlerError, []byte(ev.Error)
	}
	if len(body) > a.limits.MaxMessageBytes {
		typ, body = frame.HandlerError, []byte("answer over the size limit")
	}
	j.msg = &message{
		typ: typ, call: ev.Call, attempt: j.attempt, kind: j.kind, body: body,
		sum: frame.Checksum(typ, ev.Call, j.attempt, body),
	}
	a.out.put(PriorityOf(j.kind), j.msg)
}

func (a *Acceptor) onWritable(now time.Time) {
	if f, ok := a.beats.next(now); ok {
		a.do(Write{Frame: f})
		return
	}
	if len(a.control) > 0 {
		f := a.control[0]
		a.control = a.control[1:]
		a.do(Write{Frame: f})
		return
	}
	m, lane, wait := a.out.head(now)
	if m == nil {
		a.onNothing(wait)
		return
	}
	f, last := m.next(now)
	a.out.turn(lane, len(f.Payload), last)
	if last {
		delete(a.open, m.call)
	}
	a.do(Write{Frame: f})
}

// onNothing is called when nothing can be sent now.
func (a *Acceptor) onNothing(wait time.Duration) {
	switch {
	case wait > 0:
		a.do(Throttled{Wait: wait})
	case a.bye:
		a.do(Drained{})
	case a.draining && a.idle():
		a.bye = true
		a.do(Write{Frame: frame.Frame{Type: frame.GoAway, Call: a.last}})
	}
}

func (a *Acceptor) onTick(now time.Time) {
	if why := a.beats.silent(now); why != "" {
		a.condemn(why)
		return
	}
	if !now.Before(a.beats.due) {
		a.do(FramesPending{})
	}
}

func (a *Acceptor) condemn(reason string) {
	a.do(CloseLink{Reason: reason})
	a.onDown()
}

// onDown cancels every handler, in the order of the calls.
func (a *Acceptor) onDown() {
	a.down = true
	for _, id := range slices.Sorted(maps.Keys(a.open)) {
		if a.open[id].running {
			a.do(CancelHandler{Call: id})
		}
	}
	clear(a.open)
}
