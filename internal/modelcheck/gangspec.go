package modelcheck

// The size of the specification of gang starts. Time is counted in eighths of the workers' limit, from the
// decision to start the gang.
const (
	gangMembers = 2
	gangLimit   = 8
	// gangSendBy is until when orders may be sent, gangStopAt when an incomplete gang is stopped.
	gangSendBy = 2
	gangStopAt = 4
	// gangEnd is the time at which a trace ends.
	gangEnd = gangSendBy + gangLimit + 3
)

// The actions of the specification of gang starts.
const (
	GangTick ActionKind = iota + 220
	GangSend
	GangLose
	GangArrive
	GangAnswer
	GangStopArrives
	GangPause
	GangResume
	GangReplace
)

var gangActionNames = [...]string{
	"time passes", "order sent", "order lost", "order arrives", "answer arrives", "stop arrives", "owner is stopped", "owner goes on", "owner is replaced",
}

// memberState is how far the order to one member has come.
type memberState uint8

const (
	// memberOrdered orders are decided and wait to be sent.
	memberOrdered memberState = iota
	memberUnsent
	memberSent
	memberLost
	memberRuns
	// memberKnown members run, and their owner knows that.
	memberKnown
	memberStopped
)

// gangMember is one member of a gang, as its worker and its owner see it.
type gangMember struct {
	state memberState
	// startedAt is when it began to run, sentAt when its order was sent.
	startedAt, sentAt uint8
	stopOrdered       bool
}

// GangState is a state of the specification of gang starts.
type GangState struct {
	now    uint8
	member [gangMembers]gangMember
	// paused owners are stopped; gone ones were replaced. disturbed is set once either was so.
	paused, gone, disturbed bool
	// sentLate is set once an order was sent after its time.
	sentLate bool
}

// Append appends the encoded state.
func (s GangState) Append(b []byte) []byte {
	for _, m := range s.member {
		b = append(b, byte(m.state)|b2u(m.stopOrdered)<<4, m.startedAt<<4|m.sentAt)
	}
	return append(b, s.now, b2u(s.paused)|b2u(s.gone)<<1|b2u(s.disturbed)<<2|b2u(s.sentLate)<<3)
}

// GangSpec is the specification of the start of one gang. Its fields put faults into the rule.
type GangSpec struct {
	// NoBound sends orders at any time and never stops an incomplete gang.
	NoBound bool
	// CountFromSend counts the time until an incomplete gang is stopped from the sending of its last order.
	CountFromSend bool
	// IgnoreUnanswered stops a gang only for orders that were not sent.
	IgnoreUnanswered bool
}

// Initial returns the state in which all members have just been ordered.
func (k GangSpec) Initial() GangState { return GangState{} }

// Transitions appends all transitions that change the state.
func (k GangSpec) Transitions(s GangState, out []Transition[GangState]) []Transition[GangState] {
	for v := GangTick; v <= GangReplace; v++ {
		for m := range uint8(gangMembers) {
			a := Action{Kind: v, Worker: m}
			if n := k.Do(s, a); n != s {
				out = append(out, Transition[GangState]{a, n})
			}
		}
	}
	return out
}

// Do returns the state after an action, which is the same state if the action is not possible. Orders,
// answers and stops take any time; orders may be lost.
func (k GangSpec) Do(s GangState, a Action) GangState {
	m := &s.member[a.Worker]
	switch a.Kind {
	case GangTick:
		k.tick(&s)
	case GangSend:
		k.send(&s, m)
	case GangLose:
		if m.state == memberSent {
			m.state = memberLost
		}
	case GangArrive:
		if m.state == memberSent {
			m.state, m.startedAt = memberRuns, s.now
		}
	case GangAnswer:
		if m.state == memberRuns && s.ownerRuns() {
			m.state = memberKnown
		}
	case GangStopArrives:
		if m.stopOrdered {
			m.state = memberStopped // a start that arrives later is refused
		}
	case GangPause:
		if s.ownerRuns() {
			s.paused, s.disturbed = true, true
		}
	case GangResume:
		s.paused = false
		k.stopIfOverdue(&s)
	case GangReplace:
		s.gone, s.disturbed = true, true
	}
	return s
}

func (s *GangState) ownerRuns() bool { return !s.paused && !s.gone }

func (k GangSpec) tick(s *GangState) {
	if s.now == gangEnd {
		return
	}
	s.now++
	k.stopIfOverdue(s)
}

// maySend reports whether an order may be sent at a time.
func (k GangSpec) maySend(now uint8) bool { return k.NoBound || now <= gangSendBy }

func (k GangSpec) send(s *GangState, m *gangMember) {
	switch {
	case !s.ownerRuns() || m.state != memberOrdered || m.stopOrdered:
	case !k.maySend(s.now):
		m.state = memberUnsent
		s.stopAll()
	default:
		m.state, m.sentAt = memberSent, s.now
		s.sentLate = s.sentLate || s.now > gangSendBy
	}
}

// isOverdue reports whether a gang of which a member is not known to run has to be stopped.
func (k GangSpec) isOverdue(s *GangState) bool {
	from := uint8(0)
	if k.CountFromSend {
		for _, m := range s.member {
			from = max(from, m.sentAt)
		}
	}
	return !k.NoBound && s.now >= from+gangStopAt
}

func (k GangSpec) stopIfOverdue(s *GangState) {
	if !s.ownerRuns() || !k.isOverdue(s) {
		return
	}
	for _, m := range s.member {
		if m.state != memberKnown && !k.IgnoreUnanswered {
			s.stopAll()
			return
		}
	}
}

// stopAll orders the stop of all members, whatever is known of them.
func (s *GangState) stopAll() {
	for n := range s.member {
		s.member[n].stopOrdered = true
	}
}

// isWhole reports whether all members run.
func (s *GangState) isWhole() bool {
	for _, m := range s.member {
		if m.state != memberRuns && m.state != memberKnown {
			return false
		}
	}
	return true
}

// Check returns the invariant that the state violates, or "". A stop is ordered in time if it has half of the
// limit to arrive.
func (k GangSpec) Check(s GangState) string {
	if s.sentLate && !s.disturbed {
		return "an order was sent too late for its gang"
	}
	if s.disturbed || s.isWhole() {
		return ""
	}
	for _, m := range s.member {
		waits := m.state == memberRuns || m.state == memberKnown
		if waits && !m.stopOrdered && s.now > m.startedAt+gangLimit-gangStopAt {
			return "a member waits to the workers' limit, and no stop was ordered in time"
		}
	}
	return ""
}

// The scenarios that an exploration of gang starts must reach.
const (
	ScenarioWholeGang   = "all members of a gang run"
	ScenarioGangStopped = "a member runs while the stop of its gang is on its way"
	ScenarioLateStart   = "a member's order arrives after its gang was stopped"
	ScenarioGangOrphan  = "a member waits while its owner is stopped or gone"
)

// Scenarios reports the scenarios that a state is in.
func (k GangSpec) Scenarios(s GangState, report func(string)) {
	if s.isWhole() {
		report(ScenarioWholeGang)
	}
	for _, m := range s.member {
		waits := m.state == memberRuns || m.state == memberKnown
		switch {
		case waits && !s.ownerRuns():
			report(ScenarioGangOrphan)
		case waits && m.stopOrdered && m.startedAt >= gangStopAt:
			report(ScenarioLateStart)
		case waits && m.stopOrdered:
			report(ScenarioGangStopped)
		}
	}
}
