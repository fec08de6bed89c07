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
	// TermSplit parts the network, or heals it.
	TermSplit
	// TermPeerWord confirms a term on a peer's word that the store does not serve it.
	TermPeerWord
	TermRelease
	TermSendClaim
	TermStoreClaim
	TermGain
	TermSendRenewal
	TermStoreRenewal
	TermRenewalAnswer
	TermAskPromise
	TermPromise
	TermPromiseAnswer
	TermConsent
	TermWitnessRestart
	// The same three exchanges, answered within the tick.
	TermClaimAnswered
	TermRenewalAnswered
	TermPromiseAnswered
)

// firstKeepingAction is the first action of doKeeping. Their Worker is the number of a
// witness, or in those on renewals the set of witnesses that the renewal names.
const firstKeepingAction = TermSplit

var termActionNames = [...]string{
	"tick", "claim", "renew", "hold", "start", "start delivered", "start lost", "stop", "task ends",
	"end recorded", "end acknowledged", "worker partitioned or reconnected", "worker restarts",
	"network parted or healed", "kept on a peer's word", "term released", "claim sent", "claim stored", "term gained",
	"renewal sent", "renewal stored", "renewal answered", "promise asked", "promised", "promise answered",
	"consent", "witness restarts", "claim stored and answered", "renewal stored and answered", "promise asked and answered",
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
	// Keeping is what lets an owner keep its term while the store does not answer. With
	// its zero value a renewal and a claim are one step each, and no record names
	// witnesses.
	Keeping Keeping
	// TermsOnly leaves the workers and the task out.
	TermsOnly bool
	// RunsOnly checks the invariants on runs only, to show what a fault leads to.
	RunsOnly bool
}

// Initial returns the state in which no instance owns the cell.
func (k TermSpec) Initial() TermState {
	return TermState{renewalAge: renewalStaleTicks, keeping: keepingState{splitsLeft: k.Keeping.MaxSplits}}
}

// Transitions appends all transitions that change the state.
func (k TermSpec) Transitions(s TermState, out []Transition[TermState]) []Transition[TermState] {
	last := TermPromiseAnswered
	if k.Keeping.isZero() {
		last = TermRestart
	}
	for v := TermTick; v <= last; v++ {
		if k.TermsOnly && v >= TermHold && v < firstKeepingAction {
			continue
		}
		hosts, workers := rangeOf(v)
		for h := range hosts {
			for w := range workers {
				a := Action{Kind: v, Host: h, Worker: w}
				if n := k.Do(s, a); n != s {
					out = append(out, Transition[TermState]{a, n})
				}
			}
		}
	}
	return out
}

// rangeOf returns the numbers of values that the Host and the Worker of an action take.
func rangeOf(v ActionKind) (hosts, workers uint8) {
	switch v {
	case TermTick, TermStartDelivered, TermStartLost:
		return 1, 1
	case TermTaskEnd, TermPartition, TermRestart, TermSplit, TermWitnessRestart:
		return 1, termWorkers
	case TermClaim, TermRenew, TermRecordEnd, TermRelease, TermSendClaim, TermStoreClaim, TermGain, TermClaimAnswered:
		return instances, 1
	case TermSendRenewal, TermStoreRenewal, TermRenewalAnswer, TermRenewalAnswered:
		return instances, witnessSets
	}
	return instances, termWorkers
}

// Check returns the invariant that the state violates, or "".
func (k TermSpec) Check(s TermState) string {
	switch {
	case s.ranTwice:
		return "two runs of a task at the same time"
	case s.restartedAfterEnd:
		return "a task started again after its end was acknowledged"
	case k.RunsOnly:
		return ""
	}
	return s.checkOwners()
}

// checkOwners returns the violation by an owner that does not know of a later term. A
// later term is claimed when a confirmation has become stale, so that owner starts
// nothing any more, and the wait of the later one covers the leases that it renews.
func (s TermState) checkOwners() string {
	for _, i := range s.instance {
		switch {
		case i.term == 0 || i.term == s.term:
		case i.confirmationAge <= startGraceTicks:
			return "an owner may start tasks after a later term was claimed"
		case i.confirmationAge < renewalStaleTicks+i.outdatedAge:
			return "a term was confirmed for a time after a later one was claimed"
		}
	}
	return ""
}
