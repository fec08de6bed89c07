package modelcheck

// Faulty leaves parts of the protocol out, to show that the check finds them.
type Faulty struct {
	// NoFence lets a new owner go on without raising the workers' epochs.
	NoFence bool
	// ListFirst lets a new owner list a worker before it fences it.
	ListFirst bool
	// ListEarly lets a new owner list a worker before old holds have lapsed.
	ListEarly bool
	// NoWait lets a new owner go on without waiting for old holds to lapse.
	NoWait bool
	// AnyIncarnation lets a hold asked of one incarnation be given by the next.
	AnyIncarnation bool
	// StartAnywhere lets a start sent to one incarnation be taken by the next.
	StartAnywhere bool
	// KeepTraces lets an owner that comes back go by the attempts of its earlier
	// tenure.
	KeepTraces bool
	// StaleListing lets an owner go by a listing from before its last fence.
	StaleListing bool
	// SameEpoch lets an owner regain the epoch that it used, although another may
	// have come in between.
	SameEpoch bool
	// OldVerdict repeats a not_run without holds.
	OldVerdict bool
	// TrustBar takes a bar from a restarted worker as proof.
	TrustBar bool
	// AnyEpoch lets an owner take an offer made under an earlier epoch of its own.
	AnyEpoch bool
	// NoGap lets a new owner run keys that may have run without trace.
	NoGap bool
}

// KeySpec is the specification of one key group with one non-idempotent key.
type KeySpec struct {
	// Wait is how many ticks a new owner waits after its fence.
	Wait uint8
	// Ticks, Restarts and Crashes bound how often each happens, and LateHolds how
	// often a hold's request comes again.
	Ticks     uint8
	LateHolds uint8
	Restarts  uint8
	Crashes   uint8
	// Claims allows a second claim on the log.
	Claims bool
	// Pauses lets single hosts sleep through ticks.
	Pauses bool
	// Losses lets answers of workers be lost, besides their requests.
	Losses bool
	// Split lists a worker in a step of its own, before its first hold.
	Split bool
	// Cold begins before the first owner has gained the group.
	Cold bool
	// OnlyRuns checks nothing but that the key does not run twice.
	OnlyRuns bool
	Faulty   Faulty
}

// First gives the state in which the first claim's owner begins, or owns.
func (k KeySpec) First() KeyState {
	var s KeyState
	h := &s.host[0]
	h.stage, h.epoch = fencing, 1
	if k.Cold {
		return s
	}
	h.stage, h.gained, h.held, h.term = owned, true, true, 1
	for i := range h.guard {
		h.guard[i] = guard{fenced: 1 + k.Wait, inc: 1, listed: true, until: holdTicks}
		s.worker[i] = worker{epoch: 1, hold: 1, left: holdTicks, holds: bit(1)}
	}
	return s
}

// Steps adds every way on.
func (k KeySpec) Steps(s KeyState, out []Step[KeyState]) []Step[KeyState] {
	k.each(s, func(a Action) {
		if n := k.Do(s, a); n != s {
			n, _ = n.canon()
			out = append(out, Step[KeyState]{a, n})
		}
	})
	return out
}

// each names every action that may have an effect.
func (k KeySpec) each(s KeyState, try func(Action)) {
	if s.ticks < k.Ticks {
		try(Action{Verb: Tick})
		if k.Pauses {
			try(Action{Verb: Tick, Host: 1})
			try(Action{Verb: Tick, Host: 2})
		}
	}
	if !s.made {
		try(Action{Verb: Make})
	}
	for h := range uint8(hosts) {
		k.eachOfHost(&s, h, try)
	}
	for w := range uint8(workers) {
		for e := uint8(1); e <= lastEp; e++ {
			try(Action{Verb: Deliver, Worker: w, Epoch: e})
			if s.lateHolds < k.LateHolds {
				try(Action{Verb: LateHold, Worker: w, Epoch: e})
			}
		}
		if s.restarts < k.Restarts {
			try(Action{Verb: RestartWorker, Worker: w})
		}
	}
}

func (k KeySpec) eachOfHost(s *KeyState, h uint8, try func(Action)) {
	if s.host[h].stage == dead {
		try(Action{Verb: Land, Host: h})
		return
	}
	for _, v := range []Verb{Offer, LateOffer, Doubt, Answer, GiveUp, TimeOut} {
		try(Action{Verb: v, Host: h})
	}
	if h > 0 {
		try(Action{Verb: Suspect, Host: h})
	}
	if k.Claims {
		for _, v := range []Verb{Append, Land, Read} {
			try(Action{Verb: v, Host: h})
		}
	}
	if s.crashes < k.Crashes {
		try(Action{Verb: CrashHost, Host: h})
	}
	for w := range uint8(workers) {
		for _, v := range []Verb{Begin, Fence, Hold, Ask} {
			try(Action{Verb: v, Host: h, Worker: w})
		}
		if k.Split || k.Faulty.ListFirst || k.Faulty.ListEarly {
			try(Action{Verb: List, Host: h, Worker: w})
		}
		if !k.Losses {
			continue
		}
		for _, v := range []Verb{FenceUnanswered, HoldUnanswered, AskUnanswered} {
			try(Action{Verb: v, Host: h, Worker: w})
		}
	}
}

// Do gives the state after an action; the same state when it can't happen.
func (k KeySpec) Do(s KeyState, a Action) KeyState {
	h := &s.host[a.Host%hosts]
	w := &s.worker[a.Worker]
	switch a.Verb {
	case Tick:
		k.tick(&s, a.Host)
	case Make:
		s.made = true
	case Offer, LateOffer:
		k.offer(&s, a)
	case Begin:
		k.begin(&s, h, a.Worker)
	case Deliver:
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
	case LateHold:
		k.lateHold(&s, w, a.Epoch)
	case Doubt:
		if h.fate == Sent && h.gained {
			h.fate = Asking
		}
	case Ask, AskUnanswered:
		k.ask(&s, a)
	case Answer:
		k.answer(&s, a.Host)
	case GiveUp:
		if h.fate == Queued && h.mayStart() {
			k.end(&s, a.Host, NotRun)
		}
	case Suspect:
		if h.stage == idle && !h.beaten && !h.read {
			k.newTerm(h, a.Host+1)
		}
	case TimeOut:
		if h.stage == scanning && !h.scanned {
			h.scanned = true
			k.advance(&s, h)
			k.sayProven(&s, a.Host)
		}
	case Append, Land, Read:
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
	case k.OnlyRuns:
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
	TrapOldOwner  = "old owner starts work after a majority was fenced"
	TrapLateStart = "start arrives after the takeover"
	TrapForgot    = "worker forgot a run before the takeover's scan"
	TrapTwoEpochs = "successor's epoch and fresh claim's epoch in use at once"
	TrapLateClaim = "claim lands while a successor owns"
)

// KeyTraps lists them.
var KeyTraps = []string{TrapOldOwner, TrapLateStart, TrapForgot, TrapTwoEpochs, TrapLateClaim}

// Traps names the traps that a state is in.
func (k KeySpec) Traps(s KeyState, hit func(string)) {
	if s.overlap {
		hit(TrapOldOwner)
	}
	for i := range s.host {
		k.hostTraps(&s, &s.host[i], hit)
	}
	a, b := &s.host[0], &s.host[1]
	if a.inTerm() && b.inTerm() && a.epoch == 3 && b.epoch == 2 && a.fencedCount() > 0 && b.fencedCount() > 0 {
		hit(TrapTwoEpochs)
	}
	if s.winner == 1 && b.stage == owned && b.epoch == 2 {
		hit(TrapLateClaim)
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
				hit(TrapLateStart)
			}
		}
	}
	if s.runs > 0 && ran == 0 && h.fate == Unheard {
		hit(TrapForgot)
	}
}
