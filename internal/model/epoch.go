package model

// EpochsPerClaim is how many epochs one claim record hands out: one for its
// owner and one for each successor.
const EpochsPerClaim = 16

// Epoch is a fencing epoch. Workers refuse anything below the highest they saw.
type Epoch uint64

// EpochOf gives the epoch of the host at rank (0 is the owner) in the claim at offset.
func EpochOf(offset Offset, rank int) Epoch {
	return Epoch(uint64(offset)*EpochsPerClaim + uint64(rank))
}

// Claim gives the offset of the claim that handed the epoch out.
func (e Epoch) Claim() Offset { return Offset(uint64(e) / EpochsPerClaim) }

// Rank gives the place in the claim's succession that the epoch belongs to.
func (e Epoch) Rank() int { return int(uint64(e) % EpochsPerClaim) }
