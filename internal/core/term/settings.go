package term

import "time"

// Settings are the times of terms.
type Settings struct {
	// Renew is the time between two renewals.
	Renew time.Duration
	// Stale is how long a record may stay unchanged, while the store answers,
	// before others claim the next term.
	Stale time.Duration
	// Grace is how long an owner goes on without a confirmed renewal, unless its
	// peers can't reach the store either.
	Grace time.Duration
	// Ask is how long an owner goes on without a confirmed renewal before it asks
	// its peers; their answers, which take up to 0.5 s, should come before it may
	// start nothing more.
	Ask time.Duration
	// Delay is added to Stale at this instance, so that claims of several do not
	// meet, and instances near the store come first.
	Delay time.Duration
	// Settle is how long an owner has been in place before a stronger instance asks
	// for its term; 0 for never.
	Settle time.Duration
	// Retry lies between two attempts to write.
	Retry time.Duration
	// Hedge is how long a write may stay without an answer before it is made
	// again beside. The condition on the end lets one of them pass.
	Hedge time.Duration
}

// DefaultSettings gives the times used on the platform: a claim follows the
// loss of an owner within about 1.5 s, which leaves most of the shortest
// lease (6 s) for taking over what runs. A store that is 26 times slower than
// usual answers within Hedge.
func DefaultSettings() Settings {
	return Settings{
		Renew: 500 * time.Millisecond,
		Stale: 1500 * time.Millisecond,
		Grace: 2500 * time.Millisecond,
		Ask:   800 * time.Millisecond,
		// An owner is in place once it has heard its workers, and a change costs
		// the jobs of then a second or two.
		Settle: 3 * time.Second,
		Retry:  250 * time.Millisecond,
		Hedge:  300 * time.Millisecond,
	}
}
