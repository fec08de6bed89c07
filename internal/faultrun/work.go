package faultrun

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

const (
	pollEvery = 100 * time.Millisecond
	// pollTries is how many polls in a row may go unanswered.
	pollTries = 3
	// avoidFor is how long a worker that did not answer is passed over.
	avoidFor = 10 * time.Second
)

// attempt is work that the ledger dispatched. Placement is trivial: the group's
// workers in turn.
type attempt struct {
	d      ledger.Dispatch
	tries  int
	misses int
	trace  ledger.Trace
	gone   bool
	// asked is when a hold was wanted at each worker for this attempt.
	asked map[model.WorkerID]time.Time
}

// holdPatience is how long an attempt waits for a hold before it goes on to the
// next worker.
const holdPatience = 300 * time.Millisecond

// doLed carries an action of the ledger out.
func (h *host) doLed(a ledger.Action) {
	switch a := a.(type) {
	case ledger.Dispatch:
		h.waiting = append(h.waiting, &attempt{d: a})
		h.place1()
	case ledger.Reply:
		h.reply(a.Waiter, answer{result: a.Result})
	case ledger.Moved:
		h.reply(a.Waiter, answer{moved: true})
	case ledger.AnswerCancel:
		if f := h.cancels[a.Waiter]; f != nil {
			delete(h.cancels, a.Waiter)
			f(a)
		}
	case ledger.Ask:
		h.ask(a)
	case ledger.Record:
		h.sim.appendOutcome(h, a.Recorded)
	case ledger.Withdraw:
		h.withdraw(a.Key)
	}
}

// place1 starts what waits, where the holds allow it.
func (h *host) place1() {
	waiting := h.waiting
	h.waiting = nil
	for _, at := range waiting {
		if !at.gone && !h.begin(at) {
			h.waiting = append(h.waiting, at)
		}
	}
}

func (h *host) begin(at *attempt) bool {
	d := &at.d
	e, ok := h.own.MayStart(h.sim.now, d.Group)
	if !ok || !h.led.MayBegin(h.sim.now, d.Work.Key, d.Attempt) {
		return false
	}
	w, inc := h.pick(at)
	if w == nil {
		return false
	}
	d.GroupEpoch = e
	at.tries++
	h.leases++
	lease := model.LeaseID(fmt.Sprintf("%s/%d/%s.%d.%d", d.Work.Key, d.Attempt, h.id, h.boot, h.leases))
	at.trace = ledger.Trace{Worker: w.id, Cell: cellOf(d.Group), Lease: lease}
	h.sent[d.Work.Key] = at
	h.stepLed(ledger.Begun{Key: d.Work.Key, Attempt: d.Attempt, Parts: []ledger.Trace{at.trace}})
	h.start1(at, w, inc)
	return true
}

// cellOf stands for a cell: key groups start work under their own epoch.
func cellOf(g model.GroupID) model.CellID { return model.CellID(fmt.Sprintf("q%d", g)) }

func (h *host) pick(at *attempt) (*machine, string) {
	ws := h.sim.groupTarget(at.d.Group).Workers
	first := int(xxhash.Sum64String(string(at.d.Work.Key))%uint64(len(ws))) + at.tries
	for i := range ws {
		id := ws[(first+i)%len(ws)].ID
		if h.sim.now.Before(h.avoid[id]) {
			continue
		}
		if inc, ok := h.own.MayStartAt(h.sim.now, at.d.Group, id); ok {
			return h.sim.byWorker[id], inc
		}
		if h.wantHold(at, id) {
			return nil, ""
		}
	}
	return nil, ""
}

// wantHold asks for a hold at a worker, and reports whether to wait for it.
func (h *host) wantHold(at *attempt, id model.WorkerID) bool {
	if _, fenced := h.own.Incarnation(model.GroupScope(at.d.Group), id); !fenced {
		return false
	}
	since, again := at.asked[id]
	if again && h.sim.now.Sub(since) >= holdPatience {
		return false
	}
	if !again {
		if at.asked == nil {
			at.asked = make(map[model.WorkerID]time.Time)
		}
		at.asked[id] = h.sim.now
	}
	h.stepOwn(ownership.HoldWanted{Group: at.d.Group, Worker: id})
	return true
}

func (h *host) start1(at *attempt, w *machine, inc string) {
	d, t := &at.d, at.trace
	start := platform.Start{
		Lease: t.Lease, Cell: t.Cell, Epoch: d.GroupEpoch, Incarnation: inc,
		Keyed: !d.Work.Idempotent, Group: d.Group, GroupEpoch: d.GroupEpoch,
		Grant: &platform.Grant{
			Lease: t.Lease, Cell: t.Cell, Epoch: d.GroupEpoch, TTL: leaseTTL, Shape: model.Shape{Slots: 1},
			Label: platform.Label{
				Key: d.Work.Key, Group: d.Group, Account: d.Work.Account, Members: 1,
				Idempotent: d.Work.Idempotent, Attempt: d.Attempt,
			},
		},
	}
	ask := func(m *machine) (struct{}, error) { return struct{}{}, m.w.Start(background, start) }
	call(h, "start", w, ask, func(_ struct{}, err error) { h.started(at, err) })
}

func (h *host) started(at *attempt, err error) {
	d := &at.d
	switch {
	case err == nil:
		h.poll(at)
	case eris.Is(err, platform.ErrStaleEpoch):
		h.stepOwn(ownership.Refused{Scope: model.GroupScope(d.Group), Epoch: d.GroupEpoch})
		h.again(at)
	case eris.Is(err, errNoAnswer):
		h.avoid[at.trace.Worker] = h.sim.now.Add(avoidFor)
		delete(h.sent, d.Work.Key)
		h.stepLed(ledger.Unclear{Key: d.Work.Key, Attempt: d.Attempt, Reason: model.ReasonLinkLost})
	default:
		h.bar(at)
	}
}

// bar makes sure that a refused start is refused for good before another worker
// is tried: a second copy of it may come when the hold is there.
func (h *host) bar(at *attempt) {
	d := &at.d
	epoch := d.GroupEpoch
	if e, ok := h.own.Owned(model.GroupScope(d.Group)); ok {
		epoch = e
	}
	h.release(d.Group, epoch, at.trace, true, func(r platform.Released, err error) {
		switch {
		case err == nil && !r.Started:
			h.again(at)
		case err == nil:
			h.poll(at)
		case h.raising(d.Group) && !at.gone:
			boot := h.boot
			h.sim.after(pollEvery, func() { h.post(boot, func() { h.bar(at) }) })
		default:
			delete(h.sent, d.Work.Key)
			h.stepLed(ledger.Unclear{Key: d.Work.Key, Attempt: d.Attempt, Reason: model.ReasonRefused})
		}
	})
}

// again tries another worker with the next tick: this one provably did not start
// it. Work that finds no room waits for its deadline.
func (h *host) again(at *attempt) {
	if !at.gone {
		h.waiting = append(h.waiting, at)
	}
}

// raising says that the group is this host's, between two epochs of its own.
func (h *host) raising(g model.GroupID) bool {
	owner, ok := h.own.Owner(model.GroupScope(g))
	_, owned := h.own.Owned(model.GroupScope(g))
	return ok && owner.Host == h.id && !owned
}

// poll asks for the task's ending until it is there.
func (h *host) poll(at *attempt) {
	boot := h.boot
	h.sim.after(pollEvery, func() {
		h.post(boot, func() {
			h.release(at.d.Group, at.d.GroupEpoch, at.trace, true, func(r platform.Released, err error) { h.polled(at, r, err) })
		})
	})
}

func (h *host) polled(at *attempt, r platform.Released, err error) {
	d := &at.d
	switch {
	case err == nil && r.Ending != nil:
		delete(h.sent, d.Work.Key)
		h.stepLed(ledger.Answered{Key: d.Work.Key, Attempt: d.Attempt, Result: resultOf(r.Ending)})
	case err == nil && r.Running:
		at.misses = 0
		h.poll(at)
	default:
		if at.misses++; at.misses < pollTries {
			h.poll(at)
			return
		}
		delete(h.sent, d.Work.Key)
		h.stepLed(ledger.Unclear{Key: d.Work.Key, Attempt: d.Attempt, Reason: model.ReasonWorkerLost})
	}
}

func resultOf(e *platform.Ending) model.Result {
	r := model.Result{Outcome: model.OutcomeDone, Reason: model.ReasonOK, Answer: e.Answer}
	if e.State != platform.EndDone {
		r.Failed, r.Reason = true, model.ReasonTaskFailed
	}
	return r
}

func (h *host) release(g model.GroupID, e model.Epoch, t ledger.Trace, only bool, done func(platform.Released, error)) {
	ask := func(m *machine) (platform.Released, error) {
		return m.w.Release(background, platform.Release{
			Lease: t.Lease, Scope: model.GroupScope(g), Epoch: e, OnlyUnstarted: only,
		})
	}
	call(h, "release", h.sim.byWorker[t.Worker], ask, func(r platform.Released, err error) {
		if eris.Is(err, platform.ErrStaleEpoch) {
			h.stepOwn(ownership.Refused{Scope: model.GroupScope(g), Epoch: e})
		}
		done(r, err)
	})
}

func (h *host) ask(a ledger.Ask) {
	h.release(a.Group, a.Epoch, a.Trace, true, func(r platform.Released, err error) {
		h.stepLed(ledger.Settled{
			Key: a.Key, Attempt: a.Attempt, Trace: a.Trace,
			Clear: err == nil, Barred: err == nil && !r.Started, Running: r.Running, Ending: r.Ending, Since: r.Since,
		})
	})
}

// withdraw takes back what waits, and stops what runs.
func (h *host) withdraw(k model.Key) {
	for _, at := range h.waiting {
		if at.d.Work.Key == k {
			at.gone = true
		}
	}
	h.waiting = slices.DeleteFunc(h.waiting, func(at *attempt) bool { return at.gone })
	at := h.sent[k]
	if at == nil || at.gone {
		return
	}
	at.gone = true
	h.release(at.d.Group, at.d.GroupEpoch, at.trace, false, func(r platform.Released, err error) {
		if err == nil && r.Ending != nil {
			h.stepLed(ledger.Answered{Key: k, Attempt: at.d.Attempt, Result: resultOf(r.Ending)})
			return
		}
		h.stepLed(ledger.Unclear{Key: k, Attempt: at.d.Attempt, Reason: model.ReasonCancelled})
	})
}
