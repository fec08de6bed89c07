package ownership

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/model"
)

// beatReceived notes a sign of life for the claims that it names.
func (c *Core) beatReceived(now time.Time, e BeatReceived) {
	for _, s := range c.scopes {
		if !s.known || !slices.Contains(e.Claims, s.offset) {
			continue
		}
		r := rankOf(s.claim.Line, e.From)
		if r < s.active {
			continue
		}
		s.active, s.heard = r, now
	}
}

func rankOf(line []model.Member, id model.HostID) int {
	return slices.IndexFunc(line, func(m model.Member) bool { return m.Host == id })
}

// succeed takes a scope over when its holder has been silent for too long. Each
// further successor waits longer; the workers obey the highest epoch.
func (c *Core) succeed(now time.Time, s *scope) {
	if c.draining || s.handed || s.term != nil || s.rank <= s.active {
		return
	}
	if s.epoch() == s.beaten {
		return
	}
	wait := c.set.SuspectAfter + time.Duration(s.rank-s.active-1)*c.set.StaggerPerRank
	if now.Sub(s.heard) >= wait {
		c.begin(now, s, s.epoch())
	}
}

// beat sends one message to each host that succeeds this one somewhere.
func (c *Core) beat(now time.Time) {
	if now.Sub(c.lastBeat) < c.set.BeatEvery {
		return
	}
	c.lastBeat = now
	to := make(map[model.Member][]model.Offset)
	for _, s := range c.scopes {
		if !c.beating(now, s) {
			continue
		}
		for _, m := range s.claim.Line[s.rank+1:] {
			to[m] = append(to[m], s.offset)
		}
	}
	var beats []Beat
	for m, claims := range to {
		beats = append(beats, Beat{To: m, Claims: claims})
	}
	slices.SortFunc(beats, func(a, b Beat) int {
		return cmp.Or(cmp.Compare(a.To.Host, b.To.Host), cmp.Compare(a.To.Boot, b.To.Boot))
	})
	for _, b := range beats {
		c.do(b)
	}
}

// beating says whether this scheduler keeps its successors back. One that can't
// gain the scope for long lets the next one try.
func (c *Core) beating(now time.Time, s *scope) bool {
	if s.term == nil || s.rank < 0 {
		return false
	}
	if s.term.phase == owned {
		return true
	}
	return now.Sub(s.term.started) < c.set.holdWait()+4*c.set.AnswerWithin
}

// drain hands every scope over to its next successor. A scope without one is
// kept until the process ends.
func (c *Core) drain(now time.Time) {
	c.draining = true
	for _, s := range c.scopes {
		if s.term == nil || s.rank < 0 || s.rank+1 >= len(s.claim.Line) {
			continue
		}
		s.handed = true
		to, claim := c.heir(now, s), s.offset
		c.lose(s)
		c.do(TellHandOver{To: to, Claim: claim})
	}
}

// heir is the first successor that seems to be there, or else the first.
func (c *Core) heir(now time.Time, s *scope) model.Member {
	rest := s.claim.Line[s.rank+1:]
	if i := slices.IndexFunc(rest, func(m model.Member) bool { return c.hosts.present(now, m) }); i >= 0 {
		return rest[i]
	}
	return rest[0]
}

// handedOver takes a scope over from an owner that has stopped deciding.
func (c *Core) handedOver(now time.Time, e HandedOver) {
	if c.draining {
		return
	}
	for _, s := range c.scopes {
		if !s.known || s.offset != e.Claim || s.term != nil {
			continue
		}
		r := rankOf(s.claim.Line, e.From)
		if r < 0 || s.rank <= r || s.epoch() == s.beaten {
			continue
		}
		c.begin(now, s, s.epoch())
		s.term.follows = model.EpochOf(s.offset, r)
	}
}

// refused gives a scope up when a worker has seen a higher epoch than the one in
// use. An answer to a call under an older epoch of ours says nothing.
func (c *Core) refused(now time.Time, e Refused) {
	s := c.byScope[e.Scope]
	if s == nil || s.term == nil || e.Epoch < s.term.epoch {
		return
	}
	c.yield(now, s)
}

// yield loses a scope to a higher epoch.
func (c *Core) yield(now time.Time, s *scope) {
	s.beaten, s.heard = s.term.epoch, now
	c.lose(s)
}

// lose drops the term, and says so if it ever gained the scope.
func (c *Core) lose(s *scope) {
	if s.term == nil {
		return
	}
	gained := s.term.gained
	s.term = nil
	if gained {
		c.do(Lose{Scope: s.target.Scope})
	}
}
