package confidence

import "time"

// View is what an instance knows of the latest term.
type View struct {
	Term int64
	// Renewal is the latest renewal that the store has shown.
	Renewal int64
	// OwnerAddr is the address of the owner.
	OwnerAddr string
	// Witness says that this instance judges the owner of the term, which is another and has not released
	// it: the record names it as a witness, or names none.
	Witness bool
	// Others are the addresses of the other witnesses, or of some instances if there are none.
	Others []string
	// Further are the addresses of some instances besides Others, which may all be cut off as the owner is.
	Further []string
	// StoreServes says that the store serves this instance the topic of terms.
	StoreServes bool
	// OthersVote says that votes of other instances against the owner count at present.
	OthersVote bool
	// VotedOut says that there are votes enough.
	VotedOut bool
	// LeastTenure is how long the term has to last before a vote.
	LeastTenure time.Duration
}
