package modelcheck

// The verbs of the term specification.
const (
	TermTick ActionKind = iota + 100
	TermClaim
	TermRenew
	TermHold
	TermStart
	TermStartDelivered
	TermStartLost
	TermStop
	TermTaskEnd
	TermRecordEnd
	TermAcknowledgeEnd
	TermPartition
	TermRestart
)

var termVerbNames = [...]string{
	"tick", "claim", "renew", "hold", "start", "start arrives", "start lost", "stop", "task ends",
	"end recorded", "end acknowledged", "worker cut or healed", "worker restarts",
}

// TermSpec is the specification of terms, take-overs and single runs.
type TermSpec struct {
	MaxTerms      uint8
	MaxRestarts   uint8
	MaxPartitions uint8
	// NoFence lets workers take orders of earlier terms.
	NoFence bool
	// NoWait lets a new owner start before silent workers' leases have lapsed.
	NoWait bool
	// AckBeforeRecord acknowledges ends that are not recorded.
	AckBeforeRecord bool
	// AssumeStartLost takes a start without an answer for one that did not happen.
	AssumeStartLost bool
	// RenewUnconfirmed lets an owner renew leases however old its proof is.
	RenewUnconfirmed bool
	// StartUnconfirmed lets an owner start tasks however old its proof is.
	StartUnconfirmed bool
}

// First gives the state in which nobody owns the cell.
func (k TermSpec) Initial() TermState { return TermState{age: termStale} }

// Steps adds every way on.
func (k TermSpec) Transitions(s TermState, out []Transition[TermState]) []Transition[TermState] {
	for v := TermTick; v <= TermRestart; v++ {
		for h := range uint8(instances) {
			for w := range uint8(termWorkers) {
				a := Action{Kind: v, Host: h, Worker: w}
				if n := k.Do(s, a); n != s {
					out = append(out, Transition[TermState]{a, n})
				}
			}
		}
	}
	return out
}

// Check gives the invariant that is broken.
func (k TermSpec) Check(s TermState) string {
	switch {
	case s.twice:
		return "two runs of a task at once"
	case s.again:
		return "a task started again after its end was acknowledged"
	}
	return ""
}

// The traps of the term specification.
const (
	ScenarioTwoOwners      = "an earlier owner goes on beside a later one"
	ScenarioSilentWorker   = "a new owner meets a silent worker that runs the task"
	ScenarioEarlierStart   = "a start of an earlier term is under way"
	ScenarioAdoptedRun     = "a new owner finds the task running"
	ScenarioNewIncarnation = "a worker that knows no term meets an earlier owner"
)

// Traps names the traps that a state is in.
func (k TermSpec) Scenarios(s TermState, hit func(string)) {
	if s.inst[0].term != 0 && s.inst[1].term != 0 {
		hit(ScenarioTwoOwners)
	}
	if s.flight != 0 && s.flight < s.term {
		hit(ScenarioEarlierStart)
	}
	for _, i := range s.inst {
		if i.term == 0 {
			continue
		}
		for w, ws := range s.worker {
			if ws.cut && ws.run != 0 && ws.run < i.term && i.heard&bit(uint8(w)) == 0 {
				hit(ScenarioSilentWorker)
			}
			if i.task == taskSeen && ws.run != 0 && ws.run < i.term && i.on == uint8(w) {
				hit(ScenarioAdoptedRun)
			}
			if s.restarts > 0 && ws.fence == 0 && i.term < s.term {
				hit(ScenarioNewIncarnation)
			}
		}
	}
}
