package term

import "time"

// Settings are the times of terms.
type Settings struct {
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// StaleAfter is how long a record may stay unchanged, while the store answers,
	// before others claim the next term.
	StaleAfter time.Duration
	// ConfirmTimeout is how long an owner goes on without a confirmed renewal, unless its
	// peers can't reach the store either.
	ConfirmTimeout time.Duration
	// QueryPeersAfter is how long an owner goes on without a confirmed renewal before it asks
	// its peers; their answers, which take up to 0.5 s, should come before it may
	// start nothing more.
	QueryPeersAfter time.Duration
	// ClaimDelay is added to Stale at this instance, so that claims of several do not
	// meet, and instances near the store come first.
	ClaimDelay time.Duration
	// MinTenure is how long an owner has been in place before a stronger instance asks
	// for its term; 0 for never.
	MinTenure time.Duration
	// RetryInterval lies between two attempts to write.
	RetryInterval time.Duration
	// HedgeAfter is how long a write may stay without an answer before it is made
	// again beside. The condition on the end lets one of them pass.
	HedgeAfter time.Duration
}

// DefaultSettings gives the times used on the platform: a claim follows the
// loss of an owner within about 1.5 s, which leaves most of the shortest
// lease (6 s) for taking over what runs. A store that is 26 times slower than
// usual answers within Hedge.
func DefaultSettings() Settings {
	return Settings{
		RenewInterval:   500 * time.Millisecond,
		StaleAfter:      1500 * time.Millisecond,
		ConfirmTimeout:  2500 * time.Millisecond,
		QueryPeersAfter: 800 * time.Millisecond,
		// An owner is in place once it has heard its workers, and a change costs
		// the jobs of then a second or two.
		MinTenure:     3 * time.Second,
		RetryInterval: 250 * time.Millisecond,
		HedgeAfter:    300 * time.Millisecond,
	}
}
