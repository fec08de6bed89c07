package term

import (
	"maps"
	"slices"
	"time"

	"coltsfootmux/internal/core/witness"
)

// An owner that is on an island with its witnesses renews leases until KeepLimit, also after another
// instance has claimed the next term without their consent. That one's record says for how long, and
// so do its renewals and the claims that follow, until the time is over: each later owner waits for
// the leases on workers that it does not reach. Witnesses that consent after the claim shorten it: most
// are back soon after a loss of many hosts.

// followed is the record that a claim without consents follows.
type followed struct {
	record   witness.Position
	named    []Witness
	consents map[witness.ID]bool
	// earlierUntil is until when owners before that of the record may renew leases.
	earlierUntil time.Duration
	// nextQuery is the earliest time at which the witnesses are asked again.
	nextQuery time.Duration
}

// newClaim returns a claim of the term that follows the latest one.
func (c *Core) newClaim() Record {
	r := c.newRecord(c.latest.Term+1, 0)
	c.followed = followed{}
	if c.needsConsent() && !c.ownerHasEnded() {
		keeps := byAnyClock(c.settings.KeepLimit+c.settings.ConfirmTimeout) + earlierOwnerMargin
		r.EarlierOwners = max(r.EarlierOwners, c.changedAt+keeps-c.now)
		c.followed = followed{record: c.latest.position(), named: c.latest.Witnesses, consents: maps.Clone(c.consents), earlierUntil: c.earlierUntil}
	}
	return r
}

// observeEarlierOwners counts the time in a record from now on. Renewals of a term can only shorten it:
// each counts from when it was sent. Records of earlier versions say nothing of it.
func (c *Core) observeEarlierOwners(r Record) {
	if r.StartLimit == 0 && r.EarlierOwners == 0 {
		return
	}
	until := c.now + r.EarlierOwners
	if r.Term == c.latest.Term {
		until = min(until, c.earlierUntil)
	}
	c.earlierUntil = until
}

// askEarlierWitnesses asks the witnesses of the record that the owned term follows while it is not
// known that they no longer confirm that term.
func (c *Core) askEarlierWitnesses() {
	f := &c.followed
	if c.ownedTerm == 0 || c.ownedTerm != f.record.Term+1 || len(f.named) == 0 || c.now >= c.earlierUntil || c.now < f.nextQuery {
		return
	}
	f.nextQuery = c.now + maxConsentInterval
	c.emit(AskConsents{Term: f.record.Term, Renewal: f.record.Renewal, Witnesses: f.named})
}

// onLateConsent shortens the time for earlier owners once enough witnesses have consented to the claim
// of the owned term. The owner before it was last confirmed by one of them, StaleAfter before its
// consent, and keeps its term for ConfirmTimeout.
func (c *Core) onLateConsent(e Consented) {
	f := &c.followed
	if c.ownedTerm == 0 || c.ownedTerm != f.record.Term+1 || e.Term != f.record.Term || e.Renewal != f.record.Renewal || len(f.named) == 0 {
		return
	}
	if !slices.ContainsFunc(f.named, func(w Witness) bool { return w.ID == e.Witness }) {
		return
	}
	f.consents[e.Witness] = true
	if len(f.consents) < witness.Consents(len(f.named)) {
		return
	}
	f.named = nil
	keeps := byAnyClock(c.settings.ConfirmTimeout) - c.settings.StaleAfter + c.settings.StaleAfter/clockTolerance + earlierOwnerMargin
	if until := max(f.earlierUntil, c.now+keeps); until < c.earlierUntil {
		c.earlierUntil = until
		c.emit(EarlierOwnersEnd{At: until})
	}
}
