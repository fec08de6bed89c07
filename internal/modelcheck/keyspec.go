package modelcheck

// Mutation leaves parts of the protocol out, to show that the exploration detects
// it.
type Mutation struct {
	// NoFence lets a new owner continue without raising the workers' epochs.
	NoFence bool
	// ListBeforeFence lets a new owner list a worker before fencing it.
	ListBeforeFence bool
	// ListBeforeExpiry lets a new owner list a worker before old holds have expired.
	ListBeforeExpiry bool
	// NoWait lets a new owner continue without waiting for old holds to expire.
	NoWait bool
	// HoldAnyIncarnation lets a worker grant a hold that was requested from its
	// previous incarnation.
	HoldAnyIncarnation bool
	// StartAnyIncarnation lets a worker accept a start that was sent to its previous
	// incarnation.
	StartAnyIncarnation bool
	// KeepOldAttempts lets an owner that regains the group rely on the attempts of
	// its earlier tenure.
	KeepOldAttempts bool
	// StaleListing lets an owner rely on a listing from before its last fence.
	StaleListing bool
	// RegainSameEpoch lets an owner regain the epoch that it used, although another
	// owner may have come in between.
	RegainSameEpoch bool
	// RepeatNotRun lets an owner without holds repeat a not_run outcome.
	RepeatNotRun bool
	// TrustBarAfterRestart takes the barring of a start by a restarted worker as
	// proof that the key did not run.
	TrustBarAfterRestart bool
	// SubmitAnyEpoch lets an owner accept a submission made under one of its earlier
	// epochs.
	SubmitAnyEpoch bool
	// IgnoreHistoryGap lets a new owner run keys that may have run without appearing
	// in a listing.
	IgnoreHistoryGap bool
}

// KeySpec is the specification of one key group with one non-idempotent key.
type KeySpec struct {
	// WaitTicks is how many ticks a new owner waits after its fence.
	WaitTicks uint8
	// MaxTicks, MaxRestarts and MaxCrashes bound how often each event happens, and
	// MaxDelayedHolds how many requests for a hold arrive a second time.
	MaxTicks        uint8
	MaxDelayedHolds uint8
	MaxRestarts     uint8
	MaxCrashes      uint8
	// SecondClaim allows a second claim in the log.
	SecondClaim bool
	// HostPauses lets single hosts pause during ticks.
	HostPauses bool
	// LostAnswers lets answers of workers be lost, in addition to requests.
	LostAnswers bool
	// SeparateList lists a worker in a transition of its own, before its first hold.
	SeparateList bool
	// BeforeFirstGain begins before the first owner has gained the group.
	BeforeFirstGain bool
	// CheckRunsOnly checks only that the key does not run twice.
	CheckRunsOnly bool
	Mutation      Mutation
}

// Initial returns the state in which the first claim's owner owns the group, or
// begins its term.
func (k KeySpec) Initial() KeyState {
	var s KeyState
	h := &s.host[0]
	h.stage, h.epoch = fencing, 1
	if k.BeforeFirstGain {
		return s
	}
	h.stage, h.gained, h.active, h.gainedEpoch = owned, true, true, 1
	for i := range h.views {
		h.views[i] = workerView{fenceAge: 1 + k.WaitTicks, incarnation: 1, listed: true, holdLeft: holdTTLTicks}
		s.worker[i] = worker{epoch: 1, holdEpoch: 1, holdLeft: holdTTLTicks, holdsInFlight: bit(1)}
	}
	return s
}

// Transitions appends all transitions that change the state.
func (k KeySpec) Transitions(s KeyState, out []Transition[KeyState]) []Transition[KeyState] {
	k.eachAction(s, func(a Action) {
		if n := k.Do(s, a); n != s {
			n, _ = n.canonical()
			out = append(out, Transition[KeyState]{a, n})
		}
	})
	return out
}

// eachAction calls try with every action that may have an effect.
func (k KeySpec) eachAction(s KeyState, try func(Action)) {
	if s.ticks < k.MaxTicks {
		try(Action{Kind: Tick})
		if k.HostPauses {
			try(Action{Kind: Tick, Host: 1})
			try(Action{Kind: Tick, Host: 2})
		}
	}
	if !s.keyCreated {
		try(Action{Kind: CreateKey})
	}
	for h := range uint8(hosts) {
		k.eachHostAction(&s, h, try)
	}
	for w := range uint8(workers) {
		for e := uint8(1); e <= lastEpoch; e++ {
			try(Action{Kind: DeliverStart, Worker: w, Epoch: e})
			if s.delayedHolds < k.MaxDelayedHolds {
				try(Action{Kind: DelayedHold, Worker: w, Epoch: e})
			}
		}
		if s.restarts < k.MaxRestarts {
			try(Action{Kind: RestartWorker, Worker: w})
		}
	}
}

func (k KeySpec) eachHostAction(s *KeyState, h uint8, try func(Action)) {
	if s.host[h].stage == dead {
		try(Action{Kind: AppendClaim, Host: h})
		return
	}
	for _, v := range []ActionKind{Submit, DelayedSubmit, StartUnanswered, DeliverAnswer, RejectQueued, ScanTimeout} {
		try(Action{Kind: v, Host: h})
	}
	if h > 0 {
		try(Action{Kind: Suspect, Host: h})
	}
	if k.SecondClaim {
		for _, v := range []ActionKind{SendClaim, AppendClaim, ReadClaim} {
			try(Action{Kind: v, Host: h})
		}
	}
	if s.crashes < k.MaxCrashes {
		try(Action{Kind: CrashHost, Host: h})
	}
	for w := range uint8(workers) {
		for _, v := range []ActionKind{SendStart, Fence, Hold, Resolve} {
			try(Action{Kind: v, Host: h, Worker: w})
		}
		if k.SeparateList || k.Mutation.ListBeforeFence || k.Mutation.ListBeforeExpiry {
			try(Action{Kind: List, Host: h, Worker: w})
		}
		if !k.LostAnswers {
			continue
		}
		for _, v := range []ActionKind{FenceUnanswered, HoldUnanswered, ResolveUnanswered} {
			try(Action{Kind: v, Host: h, Worker: w})
		}
	}
}

// Do returns the state after an action, which is the same state if the action is not
// possible.
func (k KeySpec) Do(s KeyState, a Action) KeyState {
	h := &s.host[a.Host%hosts]
	w := &s.worker[a.Worker]
	switch a.Kind {
	case Tick:
		k.tick(&s, a.Host)
	case CreateKey:
		s.keyCreated = true
	case Submit, DelayedSubmit:
		k.submit(&s, a)
	case SendStart:
		k.sendStart(&s, h, a.Worker)
	case DeliverStart:
		k.deliverStart(&s, w, a.Epoch)
	case Fence:
		k.fence(&s, h, a.Worker)
	case FenceUnanswered:
		if h.hasTerm() && h.views[a.Worker].fenceAge == 0 && w.epoch < h.epoch {
			w.epoch = h.epoch
		}
	case List:
		k.list(&s, h, a.Worker)
	case Hold:
		k.hold(&s, h, a.Worker)
	case HoldUnanswered:
		if h.stage >= scanning && h.hasTerm() && h.views[a.Worker].fenceAge > 0 {
			h.sendHold(w, &h.views[a.Worker])
		}
	case DelayedHold:
		k.deliverDelayedHold(&s, w, a.Epoch)
	case StartUnanswered:
		if h.status == StartSent && h.gained {
			h.status = Resolving
		}
	case Resolve, ResolveUnanswered:
		k.resolve(&s, a)
	case DeliverAnswer:
		k.deliverAnswer(&s, a.Host)
	case RejectQueued:
		if h.status == Queued && h.mayStart() {
			k.finish(&s, a.Host, NotRun)
		}
	case Suspect:
		if h.stage == idle && !h.superseded && !h.claimRead {
			k.startTerm(h, a.Host+1)
		}
	case ScanTimeout:
		if h.stage == scanning && !h.scanTimedOut {
			h.scanTimedOut = true
			k.advance(&s, h)
			k.announceNotRun(&s, a.Host)
		}
	case SendClaim, AppendClaim, ReadClaim:
		k.claim(&s, a)
	case CrashHost:
		s.crashes++
		s.host[a.Host] = host{stage: dead}
	case RestartWorker:
		s.restart(w)
	}
	return s
}

// Check returns the invariant that the state violates, or "".
func (k KeySpec) Check(s KeyState) string {
	switch {
	case s.runs > 1:
		return "a non-idempotent key ran twice"
	case k.CheckRunsOnly:
		return ""
	case s.callerStatus == NotRun && s.runs > 0:
		return "the outcome of a key that ran is not_run"
	case s.callerStatus == Done && s.runs == 0:
		return "the outcome of a key that did not run is done"
	case s.epochDecreased:
		return "a worker started under a lower epoch after a higher one"
	}
	return ""
}

// The scenarios that an exploration must reach.
const (
	ScenarioOldOwner     = "previous owner starts a task after a majority was fenced"
	ScenarioDelayedStart = "start arrives after the takeover"
	ScenarioForgottenRun = "worker restarted and lost a run before the takeover's scan"
	ScenarioTwoEpochs    = "the successor's and the second claim's epochs in use at the same time"
	ScenarioLateClaim    = "claim is appended while a successor owns the group"
)

// KeyScenarios lists the scenarios of the key specification.
var KeyScenarios = []string{ScenarioOldOwner, ScenarioDelayedStart, ScenarioForgottenRun, ScenarioTwoEpochs, ScenarioLateClaim}

// Scenarios reports the scenarios that a state is in.
func (k KeySpec) Scenarios(s KeyState, report func(string)) {
	if s.oldOwnerStarted {
		report(ScenarioOldOwner)
	}
	for i := range s.host {
		k.hostScenarios(&s, &s.host[i], report)
	}
	a, b := &s.host[0], &s.host[1]
	if a.hasTerm() && b.hasTerm() && a.epoch == 3 && b.epoch == 2 && a.fencedCount() > 0 && b.fencedCount() > 0 {
		report(ScenarioTwoEpochs)
	}
	if s.claimWinner == 1 && b.stage == owned && b.epoch == 2 {
		report(ScenarioLateClaim)
	}
}

func (k KeySpec) hostScenarios(s *KeyState, h *host, report func(string)) {
	if h.stage != owned {
		return
	}
	var ran uint8
	for i := range s.worker {
		w := &s.worker[i]
		ran |= w.ranEpochs
		for e := uint8(1); e < h.epoch; e++ {
			if (w.startsInFlight|w.staleStarts)&bit(e) != 0 && w.ranEpochs&bit(e) == 0 {
				report(ScenarioDelayedStart)
			}
		}
	}
	if s.runs > 0 && ran == 0 && h.status == NotReceived {
		report(ScenarioForgottenRun)
	}
}
