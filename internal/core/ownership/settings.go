package ownership

import (
	"time"

	"coltsfootmux/internal/model"
)

// Settings are fixed for one start of a scheduler. Zero values take defaults.
type Settings struct {
	// Self is this scheduler. Self.Boot must differ at each start of the process:
	// a restarted host has no memory and must not act on an earlier start's epochs.
	Self       model.Member
	DataCentre model.DataCentre
	Region     model.Region
	// BeatEvery is the time between heartbeats to successors.
	BeatEvery time.Duration
	// SuspectAfter is the silence after which the first successor takes over.
	SuspectAfter time.Duration
	// StaggerPerRank delays each further candidate or successor.
	StaggerPerRank time.Duration
	// NearGrace is how much longer a host waits before it claims a scope that should
	// be owned from another data centre.
	NearGrace time.Duration
	// HoldTTL is the time to live of a key group's holds.
	HoldTTL time.Duration
	// ClockRateBound is by what share two clocks' rates may differ.
	ClockRateBound float64
	// RetryEvery is the time before an unanswered fence or listing is sent again.
	RetryEvery time.Duration
	// AnswerWithin is how long a takeover waits for workers that don't answer.
	AnswerWithin time.Duration
	// ClaimEvery is the least time between two appends of claims.
	ClaimEvery time.Duration
	// ClaimWithin is how long an append may stay unread before it is repeated.
	ClaimWithin time.Duration
	// RefreshEvery is the age at which an owner appends its claim anew, well
	// within the log's retention.
	RefreshEvery time.Duration
	// RelineAfter is the least age of a claim that is replaced because its
	// successors are gone.
	RelineAfter time.Duration
	// ReclaimAfter is the silence after which a host that yielded to a higher
	// epoch claims the scope again.
	ReclaimAfter time.Duration
	// LineLength is the number of hosts in a claim, owner included.
	LineLength int
}

// holdWaits is how many times to live a new owner waits before it scans: the old
// owner stops within one, a hold it renewed lapses within two, and one delayed
// renewal stretches a hold once.
const holdWaits = 3

// unwantedHolds is for how many times to live a hold at a worker that is no
// witness is renewed after it was last wanted.
const unwantedHolds = 10

// renewalsPerTTL is how often a hold is renewed within its time to live.
const renewalsPerTTL = 3

func (s Settings) withDefaults() Settings {
	s.BeatEvery = orDuration(s.BeatEvery, 250*time.Millisecond)
	s.SuspectAfter = orDuration(s.SuspectAfter, 1500*time.Millisecond)
	s.StaggerPerRank = orDuration(s.StaggerPerRank, 300*time.Millisecond)
	s.NearGrace = orDuration(s.NearGrace, 500*time.Millisecond)
	s.HoldTTL = orDuration(s.HoldTTL, time.Second)
	s.RetryEvery = orDuration(s.RetryEvery, 200*time.Millisecond)
	s.AnswerWithin = orDuration(s.AnswerWithin, 500*time.Millisecond)
	s.ClaimEvery = orDuration(s.ClaimEvery, 50*time.Millisecond)
	s.ClaimWithin = orDuration(s.ClaimWithin, 2*time.Second)
	s.RefreshEvery = orDuration(s.RefreshEvery, time.Hour)
	s.RelineAfter = orDuration(s.RelineAfter, 5*time.Second)
	s.ReclaimAfter = orDuration(s.ReclaimAfter, 10*time.Second)
	if s.ClockRateBound <= 0 {
		s.ClockRateBound = 0.01
	}
	if s.LineLength <= 0 {
		s.LineLength = 4
	}
	s.LineLength = min(s.LineLength, model.EpochsPerClaim)
	return s
}

func orDuration(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return otherwise
}

// heldFor is how long a hold counts by the owner's clock, from its sending.
func (s Settings) heldFor() time.Duration {
	return time.Duration(float64(s.HoldTTL) * (1 - s.ClockRateBound))
}

// holdWait is how long a new owner waits after its fence.
func (s Settings) holdWait() time.Duration {
	return time.Duration(holdWaits * float64(s.HoldTTL) * (1 + s.ClockRateBound))
}
