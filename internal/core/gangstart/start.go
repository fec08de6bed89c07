package gangstart

import "time"

const (
	// sendShare divides the workers' limit to give the time within which orders are sent. With the way
	// to the worker and one repeat of an order without an answer, it ends before the gang is stopped.
	sendShare = 4
	// completeShare divides the workers' limit to give the time within which all members must be known
	// to run. The rest is for the stops, which take as long as the starts.
	completeShare = 2
)

// Start is the start of one run of a gang. The zero value has no bounds.
type Start struct {
	orderedAt, limit time.Duration
}

// New returns the start of a gang that is ordered now. Workers wait for the limit for the other
// members of a gang; 0 for no bound.
func New(now, limit time.Duration) Start { return Start{orderedAt: now, limit: limit} }

// IsPending reports whether the start has bounds.
func (s Start) IsPending() bool { return s.limit > 0 }

// SendBy returns the time until which its orders may be sent, 0 for no bound.
func (s Start) SendBy() time.Duration {
	if s.limit == 0 {
		return 0
	}
	return s.orderedAt + s.limit/sendShare
}

// IsOverdue reports whether a gang of which a member is not known to run has to be stopped: the
// members that run would otherwise reach the workers' limit before a stop does.
func (s Start) IsOverdue(now time.Duration) bool {
	return s.limit > 0 && now-s.orderedAt >= s.limit/completeShare
}

// Age returns how long ago the gang was ordered.
func (s Start) Age(now time.Duration) time.Duration { return now - s.orderedAt }
