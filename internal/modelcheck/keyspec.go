package modelcheck

// Mutation leaves parts of the protocol out, to show that the check finds them.
type Mutation struct {
	// NoFence lets a new owner go on without raising the workers' epochs.
	NoFence bool
	// ListBeforeFence lets a new owner list a worker before it fences it.
	ListBeforeFence bool
	// ListBeforeExpiry lets a new owner list a worker before old holds have lapsed.
	ListBeforeExpiry bool
	// NoWait lets a new owner go on without waiting for old holds to lapse.
	NoWait bool
	// HoldAnyIncarnation lets a hold asked of one incarnation be given by the next.
	HoldAnyIncarnation bool
	// StartAnyIncarnation lets a start sent to one incarnation be taken by the next.
	StartAnyIncarnation bool
	// KeepOldAttempts lets an owner that comes back go by the attempts of its earlier
	// tenure.
	KeepOldAttempts bool
	// StaleListing lets an owner go by a listing from before its last fence.
	StaleListing bool
	// RegainSameEpoch lets an owner regain the epoch that it used, although another may
	// have come in between.
	RegainSameEpoch bool
	// RepeatNotRun repeats a not_run without holds.
	RepeatNotRun bool
	// TrustBarAfterRestart takes a bar from a restarted worker as proof.
	TrustBarAfterRestart bool
	// SubmitAnyEpoch lets an owner take an offer made under an earlier epoch of its own.
	SubmitAnyEpoch bool
	// IgnoreHistoryGap lets a new owner run keys that may have run without trace.
	IgnoreHistoryGap bool
}

// KeySpec is the specification of one key group with one non-idempotent key.
type KeySpec struct {
	// WaitTicks is how many ticks a new owner waits after its fence.
	WaitTicks uint8
	// MaxTicks, Restarts and Crashes bound how often each happens, and LateHolds how
	// often a hold's request comes again.
	MaxTicks        uint8
	MaxDelayedHolds uint8
	MaxRestarts     uint8
	MaxCrashes      uint8
	// SecondClaim allows a second claim on the log.
	SecondClaim bool
	// HostPauses lets single hosts sleep through ticks.
	HostPauses bool
	// LostAnswers lets answers of workers be lost, besides their requests.
	LostAnswers bool
	// SeparateList lists a worker in a step of its own, before its first hold.
	SeparateList bool
	// BeforeFirstGain begins before the first owner has gained the group.
	BeforeFirstGain bool
	// CheckRunsOnly checks nothing but that the key does not run twice.
	CheckRunsOnly bool
	Mutation      Mutation
}

// First gives the state in which the first claim's owner begins, or owns.
func (k KeySpec) Initial() KeyState {
	var s KeyState
	h := &s.host[0]
	h.stage, h.epoch = fencing, 1
	if k.BeforeFirstGain {
		return s
	}
	h.stage, h.gained, h.held, h.term = owned, true, true, 1
	for i := range h.guard {
		h.guard[i] = guard{fenced: 1 + k.WaitTicks, inc: 1, listed: true, until: holdTicks}
		s.worker[i] = worker{epoch: 1, hold: 1, left: holdTicks, holds: bit(1)}
	}
	return s
}

// Steps adds every way on.
func (k KeySpec) Transitions(s KeyState, out []Transition[KeyState]) []Transition[KeyState] {
	k.each(s, func(a Action) {
		if n := k.Do(s, a); n != s {
			n, _ = n.canon()
			out = append(out, Transition[KeyState]{a, n})
		}
	})
	return out
}

// each names every action that may have an effect.
func (k KeySpec) each(s KeyState, try func(Action)) {
	if s.ticks < k.MaxTicks {
		try(Action{Kind: Tick})
		if k.HostPauses {
			try(Action{Kind: Tick, Host: 1})
			try(Action{Kind: Tick, Host: 2})
		}
	}
	if !s.made {
		try(Action{Kind: CreateKey})
	}
	for h := range uint8(hosts) {
		k.eachOfHost(&s, h, try)
	}
	for w := range uint8(workers) {
		for e := uint8(1); e <= lastEp; e++ {
			try(Action{Kind: DeliverStart, Worker: w, Epoch: e})
			if s.lateHolds < k.MaxDelayedHolds {
				try(Action{Kind: DelayedHold, Worker: w, Epoch: e})
			}
		}
		if s.restarts < k.MaxRestarts {
			try(Action{Kind: RestartWorker, Worker: w})
		}
	}
}

func (k KeySpec) eachOfHost(s *KeyState, h uint8, try func(Action)) {
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

// Do gives the state after an action; the same state when it can't happen.
func (k KeySpec) Do(s KeyState, a Action) KeyState {
	h := &s.host[a.Host%hosts]
	w := &s.worker[a.Worker]
	switch a.Kind {
	case Tick:
		k.tick(&s, a.Host)
	case CreateKey:
		s.made = true
	case Submit, DelayedSubmit:
		k.offer(&s, a)
	case SendStart:
		k.begin(&s, h, a.Worker)
	case DeliverStart:
		k.deliver(&s, w, a.Epoch)
	case Fence:
		k.fence(&s, h, a.Worker)
	case FenceUnanswered:
		if h.inTerm() && h.guard[a.Worker].fenced == 0 && w.epoch < h.epoch {
			w.epoch = h.epoch
		}
	case List:
		k.list(&s, h, a.Worker)
	case Hold:
		k.hold(&s, h, a.Worker)
	case HoldUnanswered:
		if h.stage >= scanning && h.inTerm() && h.guard[a.Worker].fenced > 0 {
			h.askHold(w, &h.guard[a.Worker])
		}
	case DelayedHold:
		k.lateHold(&s, w, a.Epoch)
	case StartUnanswered:
		if h.fate == StartSent && h.gained {
			h.fate = Resolving
		}
	case Resolve, ResolveUnanswered:
		k.ask(&s, a)
	case DeliverAnswer:
		k.answer(&s, a.Host)
	case RejectQueued:
		if h.fate == Queued && h.mayStart() {
			k.end(&s, a.Host, NotRun)
		}
	case Suspect:
		if h.stage == idle && !h.beaten && !h.read {
			k.newTerm(h, a.Host+1)
		}
	case ScanTimeout:
		if h.stage == scanning && !h.scanned {
			h.scanned = true
			k.advance(&s, h)
			k.sayProven(&s, a.Host)
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

// Check gives the invariant that is broken.
func (k KeySpec) Check(s KeyState) string {
	switch {
	case s.runs > 1:
		return "a non-idempotent key ran twice"
	case k.CheckRunsOnly:
		return ""
	case s.told == NotRun && s.runs > 0:
		return "a key that ran was told not_run"
	case s.told == Done && s.runs == 0:
		return "a key that did not run was told done"
	case s.mixed:
		return "a worker started under a lower epoch after a higher one"
	}
	return ""
}

// The traps that an exploration must reach.
const (
	ScenarioOldOwner     = "old owner starts work after a majority was fenced"
	ScenarioDelayedStart = "start arrives after the takeover"
	ScenarioForgottenRun = "worker forgot a run before the takeover's scan"
	ScenarioTwoEpochs    = "successor's epoch and fresh claim's epoch in use at once"
	ScenarioLateClaim    = "claim lands while a successor owns"
)

// KeyScenarios lists them.
var KeyScenarios = []string{ScenarioOldOwner, ScenarioDelayedStart, ScenarioForgottenRun, ScenarioTwoEpochs, ScenarioLateClaim}

// Traps names the traps that a state is in.
func (k KeySpec) Scenarios(s KeyState, hit func(string)) {
	if s.overlap {
		hit(ScenarioOldOwner)
	}
	for i := range s.host {
		k.hostTraps(&s, &s.host[i], hit)
	}
	a, b := &s.host[0], &s.host[1]
	if a.inTerm() && b.inTerm() && a.epoch == 3 && b.epoch == 2 && a.fencedCount() > 0 && b.fencedCount() > 0 {
		hit(ScenarioTwoEpochs)
	}
	if s.winner == 1 && b.stage == owned && b.epoch == 2 {
		hit(ScenarioLateClaim)
	}
}

func (k KeySpec) hostTraps(s *KeyState, h *host, hit func(string)) {
	if h.stage != owned {
		return
	}
	var ran uint8
	for i := range s.worker {
		w := &s.worker[i]
		ran |= w.ran
		for e := uint8(1); e < h.epoch; e++ {
			if (w.starts|w.oldStarts)&bit(e) != 0 && w.ran&bit(e) == 0 {
				hit(ScenarioDelayedStart)
			}
		}
	}
	if s.runs > 0 && ran == 0 && h.fate == NotReceived {
		hit(ScenarioForgottenRun)
	}
}
