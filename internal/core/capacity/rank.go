package capacity

import "time"

// Rank is the place of a machine in its fleet, as hundredths of halvings by which it is weaker than the
// strongest one, plus 1. It is 0 if it is not known.
type Rank int64

const (
	// Strongest is the rank of the strongest machine.
	Strongest Rank = 1
	// halving is the difference between two machines of which one is twice as strong.
	halving Rank = 100
)

// Ranks from which on a machine claims a step later.
const (
	secondStep = Strongest + halving/2
	thirdStep  = Strongest + 5*halving/2
)

const (
	// claimStep is the difference between two claim delays. A claim that is due is stored and read
	// within it.
	claimStep = 400 * time.Millisecond
	// MaxClaimDelay is the longest claim delay of a ranked machine.
	MaxClaimDelay = 2 * claimStep
)

// ClaimDelay returns how much later than the strongest machines one of this rank claims a term.
func (r Rank) ClaimDelay() time.Duration {
	switch {
	case r >= thirdStep:
		return MaxClaimDelay
	case r >= secondStep:
		return claimStep
	}
	return 0
}

// IsWeakest reports whether instances of this rank claim last, so that they need not see each renewal.
func (r Rank) IsWeakest() bool { return r >= thirdStep }

// Known reports whether the rank is known.
func (r Rank) Known() bool { return r >= Strongest }

// IsHalfOf reports whether a machine of this rank is at most half as strong as one of the other rank.
// Machines that are closer to each other don't change places, as a change of owner has its cost.
func (r Rank) IsHalfOf(other Rank) bool {
	return r.Known() && other.Known() && r-other >= halving
}
