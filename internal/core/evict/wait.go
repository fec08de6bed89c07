package evict

import "time"

// reclaimStops is how many stop times must remain until an urgent unit has to have
// started when its wait for ends is over, as what has not ended is then stopped.
const reclaimStops = 2

// Urgent is urgent work that needs room.
type Urgent struct {
	// Slack is by how much its start may be put off until its job misses its objective.
	Slack time.Duration
	// UntilReclaim is the time until it has to have started.
	UntilReclaim time.Duration
}

// Wait returns how long the work may wait for runs that end by themselves, at most limit.
// It is 0 if it should not wait.
func (u Urgent) Wait(stop, limit time.Duration) time.Duration {
	wait := min(limit, u.Slack-stop, u.UntilReclaim-reclaimStops*stop)
	if wait < stop {
		return 0
	}
	return wait
}
