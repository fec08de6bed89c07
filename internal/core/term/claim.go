package term

import (
	"time"

	"coltsfootmux/internal/core/witness"
)

const (
	// clockTolerance divides a time to give the difference that two clocks may show in it.
	clockTolerance = 10
	// earlierOwnerMargin is added to the time for which an earlier owner may renew leases, for its timers
	// and calls in progress.
	earlierOwnerMargin = 300 * time.Millisecond
	// consentLead is how long before a claim the witnesses are asked for their consent, so that
	// it does not wait for their answers.
	consentLead = 200 * time.Millisecond
	// maxConsentInterval is the longest time between two questions to the witnesses; it doubles from
	// RetryInterval. It is shorter than a promise holds, so that a witness which refused its consent
	// is asked again before it would make the owner another promise.
	maxConsentInterval = time.Second
	// consentReportDelay is how long after a claim is due it is reported that it waits: the witnesses'
	// answers have mostly arrived by then.
	consentReportDelay = 300 * time.Millisecond
	// otherClaimDelay is how much later than witnesses other instances claim. They mostly learn of
	// the new term before they would ask, so that a claim costs few questions in a large fleet.
	otherClaimDelay = 400 * time.Millisecond
)

// needsConsent reports whether the owner of the latest term may still act.
func (c *Core) needsConsent() bool {
	return c.latest.Term != 0 && !c.latest.Released && !c.ownerIsPredecessor() && c.latest.Owner != c.self
}

// staleAfter returns how long the latest record must stay unchanged before a claim.
func (c *Core) staleAfter() time.Duration {
	if !c.needsConsent() {
		return c.releasedClaimWait()
	}
	wait := c.settings.StaleAfter + c.claimDelay()
	if len(c.latest.Witnesses) > 0 && !c.isWitness() {
		wait += otherClaimDelay
	}
	return wait
}

// isWitness reports whether the latest record names this machine as a witness.
func (c *Core) isWitness() bool {
	for _, w := range c.latest.Witnesses {
		if w.Addr == c.addr {
			return true
		}
	}
	return false
}

// unchangedFor returns how long the store has answered without a change of the latest record.
func (c *Core) unchangedFor() time.Duration { return c.now - max(c.changedAt, c.storeOKSince) }

// canClaim reports whether the owner of the latest term has certainly stopped, or will have by the
// time that a new owner allows for.
func (c *Core) canClaim() bool {
	return c.storeOK && c.mayClaimAgain() && c.unchangedFor() >= c.staleAfter() && (!c.needsConsent() || c.hasConsent())
}

// hasConsent reports whether the owner of the latest term certainly starts no more tasks: enough
// witnesses have consented to a claim, or its StartLimit is over, whatever they say.
func (c *Core) hasConsent() bool {
	return c.ownerHasEnded() || c.unneededConsentIn() <= 0
}

// ownerHasEnded reports whether witnesses no longer confirm the latest term, and renewals of leases end
// with it as well.
func (c *Core) ownerHasEnded() bool {
	n := len(c.latest.Witnesses)
	return n == 0 || len(c.consents) >= witness.Consents(n)
}

// unneededConsentIn returns the time after which a claim needs no consent.
func (c *Core) unneededConsentIn() time.Duration {
	limit := c.latest.StartLimit
	if limit == 0 {
		limit = c.settings.KeepLimit
	}
	return c.changedAt + byAnyClock(limit) + c.settings.StaleAfter + c.claimDelay() - c.now
}

// byAnyClock returns the time that passes on this clock at most while d passes on another.
func byAnyClock(d time.Duration) time.Duration { return d + d/clockTolerance }

// askForConsents asks the witnesses shortly before a claim is due, and again while it is due, even if
// the claim does not need their consent: with it, the next owner need not allow for the earlier one.
func (c *Core) askForConsents() {
	if c.ownedTerm != 0 || c.stopping || !c.storeOK || !c.needsConsent() || c.ownerHasEnded() || c.now < c.nextConsentQuery {
		return
	}
	if c.unchangedFor() < c.staleAfter()-consentLead {
		return
	}
	c.consentInterval = min(max(2*c.consentInterval, c.settings.RetryInterval), maxConsentInterval)
	c.nextConsentQuery = c.now + c.consentInterval
	c.emit(AskConsents{Term: c.latest.Term, Renewal: c.latest.Renewal, Witnesses: c.latest.Witnesses})
}

// onConsented records that a witness has consented to a claim that follows the latest record.
func (c *Core) onConsented(e Consented) {
	if e.Term != c.latest.Term || e.Renewal != c.latest.Renewal {
		return
	}
	for _, w := range c.latest.Witnesses {
		if w.ID == e.Witness {
			c.consents[w.ID] = true
		}
	}
}
