package ownership

import "time"

// scanned says that every worker is listed, or that the rest had their time.
func (s *scope) scanned(now time.Time, within time.Duration) bool {
	if now.Sub(s.term.began) >= within {
		return true
	}
	for _, g := range s.term.guards {
		if !g.listed {
			return false
		}
	}
	return true
}

func (s *scope) anyListed() bool {
	for _, g := range s.term.guards {
		if g.listed {
			return true
		}
	}
	return len(s.term.guards) == 0
}

func (c *Core) gain(now time.Time, s *scope) {
	t := s.term
	t.phase, t.began, t.gained = owned, now, true
	g := Gain{Target: s.target, Epoch: t.epoch}
	follows := t.unbroken
	for _, x := range t.guards {
		x.closeGap(now, follows)
		if x.listed && !x.told {
			x.told = true
			g.Found = append(g.Found, x.listing)
			x.listing = Scanned{}
		}
	}
	if s.isGroup() {
		g.Gap, g.Unbroken = s.gap(), follows
	}
	c.do(g)
}

// gap is the time before which work may have run without a trace at hand.
func (s *scope) gap() time.Time {
	gap := s.target.Since
	for _, g := range s.term.guards {
		gap = later(gap, g.past)
	}
	return gap
}

// closeGap notes at a gain until when work may have run at a worker without
// trace: now while it is unheard of, else to the begin of its history. When
// nobody came in between, what an earlier term of ours noted stands.
func (g *guard) closeGap(now time.Time, follows bool) {
	if follows && !g.past.IsZero() {
		return
	}
	g.past = now
	if g.listed {
		g.past = later(g.history, g.ended)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
