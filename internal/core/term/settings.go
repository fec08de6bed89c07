package term

import "time"

// Settings holds the times of a term.
type Settings struct {
	// RenewInterval is the time between two renewals.
	RenewInterval time.Duration
	// StaleAfter is how long a record may stay unchanged, while the store answers, before
	// another instance claims the next term.
	StaleAfter time.Duration
	// ConfirmTimeout is how long an owner keeps its term without a confirmation by the store or
	// by its witnesses.
	ConfirmTimeout time.Duration
	// StartLimit is how long after the latest stored renewal witnesses may confirm a term for starts
	// of tasks. A claim without their consent waits for it.
	StartLimit time.Duration
	// KeepLimit is how long after the latest stored renewal witnesses may confirm a term, for renewals
	// of leases. An owner that claimed without their consent allows for it.
	KeepLimit time.Duration
	// QueryPeersAfter is how long an owner waits for a confirmed renewal before it queries
	// its witnesses and peers. Their answers take up to 0.5 s and should arrive before the owner has to
	// stop starting tasks.
	QueryPeersAfter time.Duration
	// ClaimDelay is added to StaleAfter at this instance while the rank of its machine is not known, see
	// package capacity.
	ClaimDelay time.Duration
	// MinTenure is how long an owner has held its term before an instance on a stronger
	// machine requests it; 0 means that none does.
	MinTenure time.Duration
	// RetryInterval is the time between two attempts to write.
	RetryInterval time.Duration
	// HedgeAfter is how long a write may go unanswered before it is sent again while the
	// first is still pending. The condition on the end lets only one of them succeed.
	HedgeAfter time.Duration
}

// DefaultSettings returns the times used on the platform. A claim follows the loss of
// an owner within about 1.5 s, which leaves most of the shortest lease (6 s) for taking
// over the running tasks. A store that is 26 times slower than usual still answers
// within HedgeAfter.
func DefaultSettings() Settings {
	return Settings{
		RenewInterval:   500 * time.Millisecond,
		StaleAfter:      1500 * time.Millisecond,
		ConfirmTimeout:  2500 * time.Millisecond,
		StartLimit:      3 * time.Second,
		KeepLimit:       20 * time.Second,
		QueryPeersAfter: 800 * time.Millisecond,
		// After this time an owner has got the lists of its workers. A change of owner delays
		// the jobs that arrive then by a second or two.
		MinTenure:     3 * time.Second,
		RetryInterval: 250 * time.Millisecond,
		HedgeAfter:    300 * time.Millisecond,
	}
}
