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
	return k.checkOwners(s)
}

// The violations by an owner that does not know of a later term.
const (
	brokenStart = "an owner may start tasks after a later term was claimed"
	brokenLease = "a term is kept for longer than a later owner allows for"
)

// checkOwners returns the violation by an owner that does not know of a later term. A
// later term is claimed when a confirmation for starts has become stale, so that owner starts
// nothing any more, and the wait of each later one covers the leases that it renews: those by
// confirmations that were stale at the claim, or those for which its record allows.
func (k TermSpec) checkOwners(s TermState) string {
	for n := range s.instance {
		i := &s.instance[n]
		switch {
		case i.term == 0 || i.term == s.term:
		case k.startAge(i) <= startGraceTicks:
			return brokenStart
		case i.confirmationAge < renewalStaleTicks+i.outdatedAge && i.confirmationAge+s.allowed(i.term) < ownerGraceTicks:
			return brokenLease
		}
	}
	return ""
}

// allowed returns for how long all later owners, and the latest record, allow an earlier one to renew
// leases.
func (s *TermState) allowed(term uint8) uint8 {
	out := s.keeping.earlier
	for _, i := range s.instance {
		if i.term > term {
			out = min(out, i.keeping.earlier)
		}
	}
	return out
}

// startAge returns the age of an owner's last confirmation for starts.
func (k TermSpec) startAge(i *instanceState) uint8 {
	if i.keeping.storedAge <= startLimitTicks || k.Keeping.StartWithoutLimit {
		return i.confirmationAge
	}
	return max(i.confirmationAge, i.keeping.storedAge-startLimitTicks)
}
