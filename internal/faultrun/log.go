package faultrun

import (
	"time"

	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/model"
)

const (
	logDelay = 5 * time.Millisecond
	// readWithin is how long a new owner waits for the log's outcomes.
	readWithin = time.Second
)

// claimEntry is a claim in its place; its offset is its index plus 1.
type claimEntry struct {
	id    string
	claim model.Claim
	at    time.Time
}

// logService is the fake log.
type logService struct {
	place    place
	claims   []claimEntry
	outcomes []ledger.Recorded
	// down and slow hold until when it serves nothing, or takes slowBy longer.
	down   time.Time
	slow   time.Time
	slowBy time.Duration
	// lost is the share of appends whose answer is lost after they took effect.
	lost    float64
	appends int
}

func (s *Sim) logUp(from place) bool {
	return !s.now.Before(s.log.down) && s.reachable(from, s.log.place)
}

func (s *Sim) logTime() time.Duration {
	if s.now.Before(s.log.slow) {
		return logDelay + s.log.slowBy
	}
	return logDelay
}

// appendClaim appends a claim unless the log is down. A writer whose answer is
// lost appends the same record once more.
func (s *Sim) appendClaim(h *host, id string, c model.Claim) {
	if !s.logUp(h.place) {
		return
	}
	s.log.appends++
	s.after(s.logTime(), func() {
		s.log.claims = append(s.log.claims, claimEntry{id, c, s.now})
		if s.rng.Float64() < s.log.lost {
			s.after(callTimeout, func() { s.appendClaim(h, id, c) })
		}
	})
}

// appendOutcome records an outcome behind the answer.
func (s *Sim) appendOutcome(h *host, r ledger.Recorded) {
	boot := h.boot
	s.after(logDelay*10, func() {
		if h.dead || h.boot != boot || !s.logUp(h.place) {
			return
		}
		s.after(s.logTime(), func() { s.log.outcomes = append(s.log.outcomes, r) })
	})
}

// readOutcomes gives the outcomes of a group, or none when the log can't be read.
func (s *Sim) readOutcomes(h *host, g model.GroupID, done func([]ledger.Recorded)) {
	boot, up := h.boot, s.logUp(h.place) && s.logTime() < readWithin
	s.after(min(s.logTime(), readWithin), func() {
		h.post(boot, func() {
			if !up {
				done(nil)
				return
			}
			var out []ledger.Recorded
			for _, o := range s.log.outcomes {
				if s.routes.Group(o.Result.Key) == g {
					out = append(out, o)
				}
			}
			done(out)
		})
	})
}
