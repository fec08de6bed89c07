package ownership

import (
	"fmt"
	"slices"
	"time"

	"coltsfootmux/internal/model"
)

// claimRead decides whether a claim becomes the current one. All readers of the
// whole log decide alike: the first claim that replaces the current one wins. A
// reader whose log begins late takes the first it sees; such readers agree again
// with the next claim, because one that replaces a later claim than ours wins too.
// Offset 0 hands out epoch 0, which means none, and never wins.
func (c *Core) claimRead(now time.Time, e ClaimRead) {
	if e.Offset == 0 || len(e.Claim.Line) == 0 {
		return
	}
	if e.Claim.Scope.Kind == model.ScopeHost {
		m := e.Claim.Line[0]
		c.hosts.started[m.Host], c.hosts.startedAt[m.Host] = m, e.At
		return
	}
	s := c.byScope[e.Claim.Scope]
	if s == nil {
		c.earlyClaim(e)
		return
	}
	if s.known && (e.Offset <= s.offset || e.Claim.Replaces < s.offset) {
		return
	}
	c.take(now, s, e)
}

// earlyClaim keeps the current claim of a scope that is not configured.
func (c *Core) earlyClaim(e ClaimRead) {
	old, ok := c.early[e.Claim.Scope]
	if !ok || (e.Offset > old.Offset && e.Claim.Replaces >= old.Offset) {
		c.early[e.Claim.Scope] = e
	}
}

// take makes a claim the current one.
func (c *Core) take(now time.Time, s *scope, e ClaimRead) {
	s.known, s.offset, s.claim, s.readAt = true, e.Offset, e.Claim, now
	s.rank = slices.Index(e.Claim.Line, c.set.Self)
	s.active, s.heard, s.vacant = 0, now, now
	s.asked, s.handed = time.Time{}, false
	if s.rank == 0 && !c.draining {
		c.begin(now, s, s.epoch())
		return
	}
	c.lose(s)
}

// onCaughtUp lets the core claim, and announces this start of the process.
func (c *Core) onCaughtUp(now time.Time) {
	if !c.caughtUp {
		c.caughtUp = true
		for _, s := range c.scopes {
			s.vacant = now
		}
	}
}

// claimDue appends at most one claim, the most urgent first: this process's
// start, scopes taken over, vacant scopes, claims to refresh.
func (c *Core) claimDue(now time.Time) {
	if !c.caughtUp || now.Sub(c.lastClaim) < c.set.ClaimEvery {
		return
	}
	if c.hosts.started[c.set.Self.Host] != c.set.Self {
		c.announce(now)
		return
	}
	if c.draining {
		return
	}
	for _, due := range []func(time.Time, *scope) bool{c.takenOver, c.unowned, c.stale} {
		if s := c.firstDue(now, due); s != nil {
			c.appendClaim(now, s)
			return
		}
	}
}

func (c *Core) firstDue(now time.Time, due func(time.Time, *scope) bool) *scope {
	for _, s := range c.scopes {
		if now.Sub(s.asked) >= c.set.ClaimWithin && due(now, s) {
			return s
		}
	}
	return nil
}

// announce appends this start of the process, repeated until it is read.
func (c *Core) announce(now time.Time) {
	if c.announced && now.Sub(c.lastClaim) < c.set.ClaimWithin {
		return
	}
	c.announced, c.lastClaim = true, now
	c.do(AppendClaim{
		ID: fmt.Sprintf("host/%s/%s", c.set.Self.Host, c.set.Self.Boot),
		Claim: model.Claim{
			Scope: model.Scope{Kind: model.ScopeHost, Name: string(c.set.Self.Host)},
			Line:  []model.Member{c.set.Self},
		},
	})
}

func (c *Core) appendClaim(now time.Time, s *scope) {
	s.asked, c.lastClaim = now, now
	// The same claim asked for again has the same id, so that readers drop it.
	id := fmt.Sprintf("%s/%d/%s/%s", s.target.Scope, s.offset, c.set.Self.Host, c.set.Self.Boot)
	claim := model.Claim{Scope: s.target.Scope, Line: c.line(now, s.target)}
	if s.known {
		claim.Replaces = s.offset
	}
	c.do(AppendClaim{ID: id, Claim: claim})
}

// takenOver says that this scheduler owns the scope as a successor.
func (c *Core) takenOver(_ time.Time, s *scope) bool {
	return s.term != nil && s.term.phase == owned && s.rank > 0
}

// unowned says that this scheduler's turn has come to claim a scope that nobody
// holds. Turns are staggered in the order of preference.
func (c *Core) unowned(now time.Time, s *scope) bool {
	if s.term != nil {
		return false
	}
	if s.known && !c.abandoned(now, s) {
		s.vacant = now
		return false
	}
	if !c.hosts.known && now.Sub(s.vacant) < c.set.SuspectAfter {
		return false
	}
	turn := slices.IndexFunc(c.order(now, s.target), func(m model.Member) bool { return m.Host == c.set.Self.Host })
	wait := time.Duration(turn) * c.set.StaggerPerRank
	if t := s.target; t.Near != "" && c.set.DataCentre != t.Near {
		// A host that is near may not be known yet; its claim is let go first.
		wait += c.set.NearGrace
	}
	return now.Sub(s.vacant) >= wait
}

// abandoned says that nobody of the claim's line seems to be there, or that this
// scheduler is of the line, has yielded, and has heard nothing for long.
func (c *Core) abandoned(now time.Time, s *scope) bool {
	present := func(m model.Member) bool { return c.hosts.present(now, m) }
	if !slices.ContainsFunc(s.claim.Line, present) {
		return true
	}
	return s.rank >= 0 && now.Sub(s.heard) >= c.set.ReclaimAfter
}

// lineEvery is the time between two looks at whether a claim's successors are there.
const lineEvery = time.Second

// stale says that an owned claim nears the log's retention, or that too few of
// its successors are there.
func (c *Core) stale(now time.Time, s *scope) bool {
	if s.term == nil || s.term.phase != owned {
		return false
	}
	age := now.Sub(s.readAt)
	if age >= c.set.RefreshEvery {
		return true
	}
	if age < c.set.RelineAfter {
		return false
	}
	if now.Sub(s.lineSeen) < lineEvery {
		return false
	}
	s.lineSeen = now
	alive := 0
	for _, m := range s.claim.Line[1:] {
		if c.hosts.present(now, m) {
			alive++
		}
	}
	return alive < len(c.line(now, s.target))-1
}
