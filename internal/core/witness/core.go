package witness

import "time"

// Core is the state of one incarnation of an instance as a witness. It is not safe for
// concurrent use.
type Core struct {
	id ID
	// holdTime is how long a promise holds.
	holdTime  time.Duration
	startedAt time.Duration
	// promisedTerm is the term whose owner got the latest promise, promisedUntil the end of it.
	promisedTerm  int64
	promisedUntil time.Duration
	// contested is the record to whose succession consent was last refused because of a promise,
	// at contestedAt.
	contested   Position
	contestedAt time.Duration
	// stopping is set once the process has begun to end. The next one on its machine relies on it
	// to promise nothing more.
	stopping bool
	// consented is the latest record to whose succession this witness has consented.
	consented Position
}

// New returns the state of a witness whose process starts now, and whose promises hold for the given
// time.
func New(id ID, holdTime, now time.Duration) *Core {
	return &Core{id: id, holdTime: holdTime, startedAt: now}
}

// Stop ends the promises of this witness.
func (c *Core) Stop() { c.stopping = true }

// Promise reports whether the witness promises the owner of p.Term not to consent to a claim of
// a later term for the hold time. p.Renewal is the latest renewal that the owner knows to be stored,
// and id the incarnation that its record names. A witness that has consented to the
// succession of that renewal or a later one refuses, as the claim may be under way. So does one
// that has been asked for it lately: an instance that the store serves wants to claim.
func (c *Core) Promise(now time.Duration, id ID, p Position) bool {
	if c.stopping || id != c.id || p.Term < c.promisedTerm || p.compare(c.consented) <= 0 || c.Contested(now, p) {
		return false
	}
	if p.Term > c.promisedTerm {
		c.promisedTerm, c.promisedUntil = p.Term, 0
	}
	c.promisedUntil = max(c.promisedUntil, now+c.holdTime)
	return true
}

// Consent reports whether the witness consents to a claim that follows the stored record p, which
// names the incarnation id. The consent does not expire: the owner of p.Term gets no further
// promise until it has stored a later renewal, which bars the claim.
func (c *Core) Consent(now time.Duration, id ID, p Position) bool {
	if id != c.id {
		// An earlier incarnation on this machine had ended before this one started. One that stops
		// may have been replaced by a later one.
		return !c.stopping && SameMachine(id, c.id) && now-c.startedAt >= c.holdTime
	}
	switch {
	case p.Term < c.promisedTerm:
		return false
	case p.Term == c.promisedTerm && now < c.promisedUntil:
		c.contested, c.contestedAt = p, now
		return false
	}
	if p.compare(c.consented) > 0 {
		c.consented = p
	}
	return true
}

// Contested reports whether the witness has lately refused its consent to a claim that follows p or
// a later renewal, because it had promised.
func (c *Core) Contested(now time.Duration, p Position) bool {
	return p.compare(c.contested) <= 0 && now-c.contestedAt < c.holdTime
}
