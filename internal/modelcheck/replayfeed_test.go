package modelcheck

import (
	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// do takes one action into the specification and the cores.
func (r *replay) do(a Action) {
	next := r.spec.Do(r.s, a)
	if next == r.s {
		r.t.Fatalf("%s has no effect in the specification", a)
	}
	r.now = r.now.Add(replayStep)
	r.done = append(r.done, a.String())
	for h := range hosts {
		r.before[h] = r.s.host[h].stage
	}
	r.feed(int(a.Host%hosts), a, next)
	r.s = next
	r.compare(a.String())
	var order [workers]uint8
	old := r.raw
	r.s, order = r.s.canon()
	for i, from := range order {
		r.raw[i] = old[from]
	}
}

func (r *replay) feed(h int, a Action, next KeyState) {
	switch a.Kind {
	case Tick:
		r.pass(replayTick, a.Host)
	case ScanTimeout:
		r.now = r.now.Add(replayAnswer)
		r.tick(h)
	case CreateKey:
		r.key = keyAt(r.now)
	case Submit, DelayedSubmit:
		r.offer(h, a, next)
	case SendStart:
		r.begin(h, a.Worker)
	case Fence:
		r.fence(h, a.Worker)
	case List:
		r.list(h, a.Worker)
	case Hold:
		if !r.spec.SeparateList && !r.s.host[h].guard[a.Worker].listed && r.s.worker[a.Worker].epoch <= r.s.host[h].epoch {
			r.list(h, a.Worker)
		}
		r.hold(h, a.Worker)
	case StartUnanswered:
		r.ledger(h, ledger.Unclear{Key: r.key, Attempt: r.attempt[h], Reason: model.ReasonLinkLost})
	case Resolve:
		r.ask(h, a.Worker)
	case DeliverAnswer:
		r.ledger(h, ledger.Answered{Key: r.key, Attempt: r.attempt[h], Result: model.Result{Outcome: model.OutcomeDone}})
	case RejectQueued:
		r.ledger(h, ledger.NotRun{Key: r.key, Attempt: r.attempt[h], Reason: model.ReasonQueueFull})
	case Suspect:
		r.now = r.now.Add(replayStep)
		r.step(h, ownership.Tick{})
	case ReadClaim:
		line := []model.Member{member(int(next.winner) - 1)}
		r.step(h, ownership.ClaimRead{
			Offset: 2, Claim: model.Claim{Scope: model.GroupScope(0), Replaces: 1, Line: line},
		})
	case RestartWorker:
		r.born[r.raw[a.Worker]] = r.now
	}
}

func (r *replay) offer(h int, a Action, next KeyState) {
	ev := ledger.Submitted{
		Waiter: ledger.Waiter(h + 1),
		Work:   model.Work{Key: r.key, Account: "a", Members: 1},
		Epoch:  at(r.s.host[h].term),
	}
	if a.Kind == Submit {
		r.s.target = next.target
	}
	r.ledger(h, ev)
}

func (r *replay) begin(h int, i uint8) {
	if _, ok := r.own[h].MayStart(r.now, 0); !ok || !r.led[h].MayBegin(r.now, r.key, r.attempt[h]) {
		r.t.Fatalf("the cores don't allow the start\n%v", r.done)
	}
	r.ledger(h, ledger.Begun{Key: r.key, Attempt: r.attempt[h], Parts: []ledger.Trace{
		{Worker: r.workerID(i), Lease: lease(r.s.host[h].epoch)},
	}})
}

func (r *replay) ask(h int, i uint8) {
	w, hs := r.s.worker[i], r.s.host[h]
	if w.epoch > hs.epoch {
		r.step(h, ownership.Refused{Scope: model.GroupScope(0), Epoch: at(hs.epoch)})
		return
	}
	r.need(h, "ask", 1, r.workerID(i))
	ev := ledger.Settled{
		Key: r.key, Attempt: r.attempt[h], Clear: true,
		Trace: ledger.Trace{Worker: r.workerID(i), Lease: lease(hs.lease)},
		Since: r.now.Sub(r.born[r.raw[i]]),
	}
	if w.ran&bit(hs.lease) != 0 {
		ev.Ending = &platform.Ending{State: platform.EndDone}
	} else {
		ev.Barred = true
	}
	r.ledger(h, ev)
}
