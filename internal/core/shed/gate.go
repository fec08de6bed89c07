package shed

import (
	"slices"
	"time"

	"coltsfootmux/internal/job"
)

// attemptSpan is the time within which a caller makes all attempts to hand in a job, with the time that an
// instance takes to learn of a level.
const attemptSpan = 20 * time.Second

// minRetryAfter is the least time that a caller is asked to wait.
const minRetryAfter = time.Second

// Decision is what an instance does with a new job.
type Decision int

// The decisions.
const (
	Accept Decision = iota
	// Refuse means that no earlier attempt was accepted either.
	Refuse
	// RefuseIfUnknown means that an earlier attempt may have been accepted, as less was refused then.
	RefuseIfUnknown
)

// Gate is the decision of an instance which new jobs it refuses. The zero value refuses none.
type Gate struct {
	// changes are the levels of the last attemptSpan, with the time from which each held, oldest first.
	changes []change
}

type change struct {
	at    time.Duration
	level Level
}

// Observe takes in the level that the owner has set.
func (g *Gate) Observe(now time.Duration, l Level) {
	if len(g.changes) == 0 || g.changes[len(g.changes)-1].level != l {
		g.changes = append(g.changes, change{now, l})
	}
	drop := 0
	for drop+1 < len(g.changes) && g.changes[drop+1].at <= now-attemptSpan {
		drop++
	}
	g.changes = slices.Delete(g.changes, 0, drop)
}

// Level returns the present level.
func (g *Gate) Level() Level {
	if len(g.changes) == 0 {
		return 0
	}
	return g.changes[len(g.changes)-1].level
}

// RetryAfter returns the time after which a refused job may be accepted: that in which the level falls to
// the job's share of it. Jobs that are refused together thus come back one after the other.
func (g *Gate) RetryAfter(id job.ID, rank int) time.Duration {
	part := g.Level() - whole*Level(rank) - Level(shareOf(id))
	return max(minRetryAfter, time.Duration(part)*time.Second/fallPerSecond)
}

// Decide returns what to do with a job whose rank is the number of priorities that are less urgent.
func (g *Gate) Decide(now time.Duration, id job.ID, rank int) Decision {
	if !g.Level().refuses(id, rank) {
		return Accept
	}
	if g.changes[0].at > now-attemptSpan {
		return RefuseIfUnknown
	}
	for _, c := range g.changes {
		if !c.level.refuses(id, rank) {
			return RefuseIfUnknown
		}
	}
	return Refuse
}
