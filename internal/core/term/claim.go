package term

import (
	"time"

	"coltsfootmux/internal/core/witness"
)

const (
	// clockTolerance divides a time to give the difference that two clocks may show in it.
	clockTolerance = 10
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
	wait := c.settings.StaleAfter + c.settings.ClaimDelay
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
	return c.storeOK && c.now >= c.unfitUntil && c.unchangedFor() >= c.staleAfter() && (!c.needsConsent() || c.hasConsent())
}

// hasConsent reports whether enough witnesses have consented to a claim. After KeepLimit without a
// stored renewal, no owner keeps its term, whatever its witnesses say.
func (c *Core) hasConsent() bool {
	n := len(c.latest.Witnesses)
	return n == 0 || c.unneededConsentIn() <= 0 || len(c.consents) >= witness.Consents(n)
}

// unneededConsentIn returns the time after which a claim needs no consent.
func (c *Core) unneededConsentIn() time.Duration {
	keepLimit := c.settings.KeepLimit + c.settings.KeepLimit/clockTolerance
	return c.changedAt + keepLimit + c.settings.StaleAfter + c.settings.ClaimDelay - c.now
}

// askForConsents asks the witnesses shortly before a claim is due, and again while it is due.
func (c *Core) askForConsents() {
	if c.ownedTerm != 0 || c.stopping || !c.storeOK || !c.needsConsent() || c.hasConsent() || c.now < c.nextConsentQuery {
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
