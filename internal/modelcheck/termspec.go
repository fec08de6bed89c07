package modelcheck

// The actions of the term specification.
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

var termActionNames = [...]string{
	"tick", "claim", "renew", "hold", "start", "start delivered", "start lost", "stop", "task ends",
	"end recorded", "end acknowledged", "worker partitioned or reconnected", "worker restarts",
}

// TermSpec is the specification of terms, takeovers and single runs.
type TermSpec struct {
	MaxTerms      uint8
	MaxRestarts   uint8
	MaxPartitions uint8
	// NoFence lets workers accept orders of earlier terms.
	NoFence bool
	// NoWait lets a new owner start tasks before the leases of unresponsive workers
	// have expired.
	NoWait bool
	// AckBeforeRecord lets an owner acknowledge ends that are not recorded.
	AckBeforeRecord bool
	// AssumeStartLost treats a start without an answer as one that was not executed.
	AssumeStartLost bool
	// RenewUnconfirmed lets an owner renew leases however old its last confirmation
	// is.
	RenewUnconfirmed bool
	// StartUnconfirmed lets an owner start tasks however old its last confirmation
	// is.
	StartUnconfirmed bool
}

// Initial returns the state in which no instance owns the cell.
func (k TermSpec) Initial() TermState { return TermState{renewalAge: renewalStaleTicks} }

// Transitions appends all transitions that change the state.
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

// Check returns the invariant that the state violates, or "".
func (k TermSpec) Check(s TermState) string {
	switch {
	case s.ranTwice:
		return "two runs of a task at the same time"
	case s.restartedAfterEnd:
		return "a task started again after its end was acknowledged"
	}
	return ""
}

// The scenarios that an exploration of the term specification must reach.
const (
	ScenarioTwoOwners      = "an earlier owner continues beside a later one"
	ScenarioSilentWorker   = "a new owner can't reach a worker that runs the task"
	ScenarioEarlierStart   = "a start of an earlier term is in flight"
	ScenarioAdoptedRun     = "a new owner finds the task running"
	ScenarioNewIncarnation = "an earlier owner can reach a restarted worker that knows no term"
)

// Scenarios reports the scenarios that a state is in.
func (k TermSpec) Scenarios(s TermState, report func(string)) {
	if s.instance[0].term != 0 && s.instance[1].term != 0 {
		report(ScenarioTwoOwners)
	}
	if s.startTerm != 0 && s.startTerm < s.term {
		report(ScenarioEarlierStart)
	}
	for _, i := range s.instance {
		if i.term == 0 {
			continue
		}
		for w, ws := range s.worker {
			if ws.partitioned && ws.runTerm != 0 && ws.runTerm < i.term && i.answeredWorkers&bit(uint8(w)) == 0 {
				report(ScenarioSilentWorker)
			}
			if i.task == taskRunning && ws.runTerm != 0 && ws.runTerm < i.term && i.taskWorker == uint8(w) {
				report(ScenarioAdoptedRun)
			}
			if s.restarts > 0 && ws.knownTerm == 0 && i.term < s.term {
				report(ScenarioNewIncarnation)
			}
		}
	}
}
