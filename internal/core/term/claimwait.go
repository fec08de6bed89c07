package term

import "coltsfootmux/internal/core/witness"

// claimWait is what is known of a claim that waits for consents.
type claimWait struct {
	// refused holds the witnesses that have refused their consent.
	refused map[witness.ID]bool
	// reported says that the wait was reported, when consented and silent witnesses had answered and
	// not answered.
	reported          bool
	consented, silent int
}

// onConsentRefused records that a witness does not consent to a claim that follows the latest record.
func (c *Core) onConsentRefused(e ConsentRefused) {
	if e.Term != c.latest.Term || e.Renewal != c.latest.Renewal {
		return
	}
	if c.wait.refused == nil {
		c.wait.refused = make(map[witness.ID]bool)
	}
	c.wait.refused[e.Witness] = true
}

// reportWait reports a claim that is due and has too few consents, once for each change of the
// witnesses' answers.
func (c *Core) reportWait() {
	if c.ownedTerm != 0 || c.stopping || !c.storeOK || !c.needsConsent() || c.hasConsent() || c.unchangedFor() < c.staleAfter()+consentReportDelay {
		return
	}
	a := ClaimWaits{Term: c.latest.Term, Renewal: c.latest.Renewal, Needed: witness.Consents(len(c.latest.Witnesses))}
	for _, w := range c.latest.Witnesses {
		switch {
		case c.consents[w.ID]:
			a.Consented = append(a.Consented, w.Addr)
		case c.wait.refused[w.ID]:
			a.Refused = append(a.Refused, w.Addr)
		default:
			a.Silent = append(a.Silent, w.Addr)
		}
	}
	if c.wait.reported && c.wait.consented == len(a.Consented) && c.wait.silent == len(a.Silent) {
		return
	}
	c.wait.reported, c.wait.consented, c.wait.silent = true, len(a.Consented), len(a.Silent)
	a.MaxWait = max(c.unneededConsentIn(), c.staleAfter()-c.unchangedFor())
	c.emit(a)
}
