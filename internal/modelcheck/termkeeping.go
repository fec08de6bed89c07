package modelcheck

import "math/bits"

// witnesses is the number of processes that may be witnesses of a term, and witnessSets
// the number of their non-empty sets, which are bit sets from 1 on.
const (
	witnesses   = 2
	witnessSets = 1<<witnesses - 1
)

// startLimitTicks and keepLimitTicks are how long after a renewal that is known to be stored promises
// count: for starts, and for renewals of leases.
const (
	startLimitTicks = 1
	keepLimitTicks  = 2
)

// A claim needs no consent once its record is old enough, which renewalAge must reach.
const _ = uint8(maxAge - startLimitTicks - renewalStaleTicks)

// Keeping is the part of the specification of terms that lets an owner keep its term
// without the store: its witnesses promise not to consent to a claim, and a claim needs
// consents.
type Keeping struct {
	// Sets is a bit set of the sets of witnesses that renewals name.
	Sets               uint8
	MaxSplits          uint8
	MaxWitnessRestarts uint8
	// MaxSlow is how many claims, renewals and questions are not answered within the tick:
	// they may arrive at any time or never, and so may their answers.
	MaxSlow uint8
	// ConsentOfAll requires the consent of all witnesses to a claim, and the promise of
	// one to keep a term. Without it one consent is enough, and all must promise.
	ConsentOfAll bool
	// TrustPeerWord confirms a term on the word of any one peer that the store does not
	// serve it, without a promise.
	TrustPeerWord bool
	// CountFromArrival counts promises from their arrival, not from the question.
	CountFromArrival bool
	// CountRenewalFromArrival and CountClaimFromArrival do so with writes.
	CountRenewalFromArrival bool
	CountClaimFromArrival   bool
	// ForgetConsent lets a witness promise after its consent.
	ForgetConsent bool
	// ForgetEarlierConsent lets a witness forget a consent when it consents to the claim
	// of a later term.
	ForgetEarlierConsent bool
	// PromiseEarlierTerm lets the promise for an earlier term replace that for a later one.
	PromiseEarlierTerm bool
	// AskWithSentRenewal lets an owner ask for promises with the number of a renewal that
	// is not known to be stored.
	AskWithSentRenewal bool
	// ConsentAfterRestart lets a restarted witness consent at once, and PromiseAfterRestart
	// lets it promise in place of its predecessor.
	ConsentAfterRestart bool
	PromiseAfterRestart bool
	// KeepByOne keeps a term by one promise, however many consents a claim needs.
	KeepByOne bool
	// KnownSetOnly ignores sets of renewals that may be stored, SentSetOnly the set that
	// is stored if such a renewal is under way.
	KnownSetOnly bool
	SentSetOnly  bool
	// ClaimBeforeLimit claims without consent as soon as a record is stale.
	ClaimBeforeLimit bool
	// KeepWithoutLimit counts promises however old the last stored renewal is, StartWithoutLimit does
	// so for starts until keepLimitTicks.
	KeepWithoutLimit  bool
	StartWithoutLimit bool
	// IgnoreEarlier claims without consent and does not allow for the earlier owner's leases;
	// ForgetEarlier does not pass on for how long an earlier owner allowed for them.
	IgnoreEarlier bool
	ForgetEarlier bool
}

func (k Keeping) isZero() bool { return k == Keeping{} }

// consents returns how many witnesses of a set must consent to a claim, and promises how
// many must promise to keep a term.
func (k Keeping) consents(set uint8) int {
	if k.ConsentOfAll {
		return bits.OnesCount8(set)
	}
	return min(1, bits.OnesCount8(set))
}

func (k Keeping) promises(set uint8) int {
	if k.KeepByOne {
		return 1
	}
	return bits.OnesCount8(set) - k.consents(set) + 1
}
