package modelcheck

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// LastingFault is a fault of one instance that lasts while all else is calm.
type LastingFault uint8

// The faults that last.
const (
	// FaultNone leaves both instances fit.
	FaultNone LastingFault = iota
	// FaultGone stops the instance for good, FaultAllGone all witnesses as well.
	FaultGone
	FaultAllGone
	// FaultNoWorkers cuts the instance off from all workers, FaultNoPeers from the other instance and
	// all witnesses. The store serves it.
	FaultNoWorkers
	FaultNoPeers
)

var lastingFaultNames = [...]string{
	"no instance fails", "an instance is gone", "an instance is gone with all witnesses", "an instance reaches no workers",
	"an instance reaches no peers",
}

// String returns what has happened.
func (f LastingFault) String() string { return lastingFaultNames[f] }

// ProgressSpec is the specification of terms with a property of progress in place of the invariants:
// from each reachable state, if the network is whole again but for a fault that lasts, an instance that it
// does not affect owns the latest term within a number of ticks. Processes that reach each other answer
// within the tick, and do what they are to do before it ends, in any order.
type ProgressSpec struct {
	TermSpec
	Fault LastingFault
	// Within is the number of ticks.
	Within uint8
	// KeepUnfit lets an owner that reaches no workers keep its term.
	KeepUnfit bool
	// NoVotes lets an owner that its witnesses don't reach keep its term.
	NoVotes bool
	// ClaimAfterLeases has a claim without consent wait until the earlier owner renews no more leases.
	ClaimAfterLeases bool
	// VotesOfWitnessesOnly gives no vote against an owner whose record names no witnesses.
	VotesOfWitnessesOnly bool

	// known holds whether progress is sure, by the hash of a calm state and the ticks left.
	known map[uint64]bool
}

// NewProgressSpec returns the specification of a fault without any fault in the rules.
func NewProgressSpec(t TermSpec, f LastingFault) ProgressSpec {
	return ProgressSpec{TermSpec: t, Fault: f, Within: f.within(), known: make(map[uint64]bool)}
}

// within returns the number of ticks within which an instance that the fault does not affect must own
// the term. The record of an instance that is gone gets stale; no promise and no restart of a witness
// delays its consent for longer. An instance that is not fit may first claim a term itself.
func (f LastingFault) within() uint8 {
	switch f {
	case FaultAllGone:
		return startLimitTicks + renewalStaleTicks
	case FaultNoWorkers, FaultNoPeers:
		return renewalStaleTicks + unfitTicks
	}
	return renewalStaleTicks
}

// Check returns the fault beside which the term may stay without a fit owner.
func (k ProgressSpec) Check(s TermState) string {
	for h := range uint8(instances) {
		c := calmState{term: s, affected: h}
		c.term.keeping.split, c.term.keeping.splitsLeft = 0, 0
		c.term.keeping.slow, c.term.keeping.witnessRestarts = 0, 0
		if !k.isSure(c, k.Within) {
			return fmt.Sprintf("%s (%d): no fit instance owns the term within %d ticks", k.Fault, h, k.Within)
		}
	}
	return ""
}

// isSure reports whether a fit instance owns the term within the given ticks in all orders of events.
func (k ProgressSpec) isSure(c calmState, ticks uint8) bool {
	if k.hasFitOwner(c) {
		return true
	}
	h := xxhash.Sum64(append(c.encode(), ticks))
	sure, ok := k.known[h]
	if !ok {
		sure = k.allSure(c, ticks)
		k.known[h] = sure
	}
	return sure
}

func (k ProgressSpec) allSure(c calmState, ticks uint8) bool {
	due := k.due(c)
	if len(due) == 0 {
		return ticks > 0 && k.isSure(k.calmTick(c), ticks-1)
	}
	for _, next := range due {
		if !k.isSure(next, ticks) {
			return false
		}
	}
	return true
}

// hasFitOwner reports whether an instance that is not affected owns the latest term.
func (k ProgressSpec) hasFitOwner(c calmState) bool {
	for h, i := range c.term.instance {
		if i.term != 0 && i.term == c.term.term && !k.isAffected(c, uint8(h)) {
			return true
		}
	}
	return false
}

func (k ProgressSpec) isAffected(c calmState, h uint8) bool {
	return k.Fault != FaultNone && h == c.affected
}
