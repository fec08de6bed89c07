package modelcheck

import (
	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// do executes one action in the specification and in the cores.
func (r *replay) do(a Action) {
	next := r.spec.Do(r.state, a)
	if next == r.state {
		r.t.Fatalf("%s has no effect in the specification", a)
	}
	r.now = r.now.Add(replayStep)
	r.actions = append(r.actions, a.String())
	for h := range hosts {
		r.previousStage[h] = r.state.host[h].stage
	}
	r.feedCores(int(a.Host%hosts), a, next)
	r.state = next
	r.compare(a.String())
	var order [workers]uint8
	old := r.realWorker
	r.state, order = r.state.canonical()
	for i, from := range order {
		r.realWorker[i] = old[from]
	}
}

func (r *replay) feedCores(h int, a Action, next KeyState) {
	switch a.Kind {
	case Tick:
		r.passTime(replayTick, a.Host)
	case ScanTimeout:
		r.now = r.now.Add(replayAnswerTimeout)
		r.tick(h)
	case CreateKey:
		r.key = newKeyAt(r.now)
	case Submit, DelayedSubmit:
		r.submit(h, a, next)
	case SendStart:
		r.sendStart(h, a.Worker)
	case Fence:
		r.fence(h, a.Worker)
	case List:
		r.list(h, a.Worker)
	case Hold:
		if !r.spec.SeparateList && !r.state.host[h].views[a.Worker].listed && r.state.worker[a.Worker].epoch <= r.state.host[h].epoch {
			r.list(h, a.Worker)
		}
		r.hold(h, a.Worker)
	case StartUnanswered:
		r.ledger(h, ledger.Unclear{Key: r.key, Attempt: r.attempt[h], Reason: model.ReasonLinkLost})
	case Resolve:
		r.resolve(h, a.Worker)
	case DeliverAnswer:
		r.ledger(h, ledger.Answered{Key: r.key, Attempt: r.attempt[h], Result: model.Result{Outcome: model.OutcomeDone}})
	case RejectQueued:
		r.ledger(h, ledger.NotRun{Key: r.key, Attempt: r.attempt[h], Reason: model.ReasonQueueFull})
	case Suspect:
		r.now = r.now.Add(replayStep)
		r.step(h, ownership.Tick{})
	case ReadClaim:
		line := []model.Member{member(int(next.claimWinner) - 1)}
		r.step(h, ownership.ClaimRead{
			Offset: 2, Claim: model.Claim{Scope: model.GroupScope(0), Replaces: 1, Line: line},
		})
	case RestartWorker:
		r.workerStart[r.realWorker[a.Worker]] = r.now
	}
}

func (r *replay) submit(h int, a Action, next KeyState) {
	ev := ledger.Submitted{
		Waiter: ledger.Waiter(h + 1),
		Work:   model.Work{Key: r.key, Account: "a", Members: 1},
		Epoch:  epochOf(r.state.host[h].gainedEpoch),
	}
	if a.Kind == Submit {
		r.state.callerHost = next.callerHost
	}
	r.ledger(h, ev)
}

func (r *replay) sendStart(h int, i uint8) {
	if _, ok := r.ownerCores[h].MayStart(r.now, 0); !ok || !r.ledgers[h].MayBegin(r.now, r.key, r.attempt[h]) {
		r.t.Fatalf("the cores do not allow the start\n%v", r.actions)
	}
	r.ledger(h, ledger.Begun{Key: r.key, Attempt: r.attempt[h], Parts: []ledger.Trace{
		{Worker: r.workerID(i), Lease: lease(r.state.host[h].epoch)},
	}})
}

func (r *replay) resolve(h int, i uint8) {
	w, hs := r.state.worker[i], r.state.host[h]
	if w.epoch > hs.epoch {
		r.step(h, ownership.Refused{Scope: model.GroupScope(0), Epoch: epochOf(hs.epoch)})
		return
	}
	r.requireRequest(h, "ask", 1, r.workerID(i))
	ev := ledger.Settled{
		Key: r.key, Attempt: r.attempt[h], Clear: true,
		Trace: ledger.Trace{Worker: r.workerID(i), Lease: lease(hs.attemptEpoch)},
		Since: r.now.Sub(r.workerStart[r.realWorker[i]]),
	}
	if w.ranEpochs&bit(hs.attemptEpoch) != 0 {
		ev.Ending = &platform.Ending{State: platform.EndDone}
	} else {
		ev.Barred = true
	}
	r.ledger(h, ev)
}
