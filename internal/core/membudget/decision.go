package membudget

// ID identifies a holder.
type ID uint64

// Decision is the result of a claim.
type Decision struct {
	Granted bool
	// Evicted are the holders that have lost their memory to the claim. The budget no longer
	// counts them; nothing is evicted for a claim that is not granted.
	Evicted []ID
}
