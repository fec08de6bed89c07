package confidence

import "time"

// View is what an instance knows of the latest term.
type View struct {
	Term int64
	// Renewal is the latest renewal that the store has shown.
	Renewal int64
	// OwnerAddr is the address of the owner.
	OwnerAddr string
	// Witness says that the record names this instance as a witness and another as the owner, which
	// has not released the term.
	Witness bool
	// Others are the addresses of the other witnesses.
	Others []string
	// StoreServes says that the store serves this instance the topic of terms.
	StoreServes bool
	// VotedOut says that there are votes enough.
	VotedOut bool
	// LeastTenure is how long the term has to last before a vote.
	LeastTenure time.Duration
}
