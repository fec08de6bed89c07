package term

import "time"

// witnessCheckInterval is the time between two checks of the witnesses by an owner.
const witnessCheckInterval = 4 * time.Second

// checkWitnesses has the owner's witnesses checked, as those that no longer answer are to be
// replaced while the store is there.
func (c *Core) checkWitnesses() {
	if c.ownedTerm == 0 || c.now < c.tenure.nextCheck {
		return
	}
	c.tenure.nextCheck = c.now + witnessCheckInterval
	c.emit(CheckWitnesses{Term: c.ownedTerm, Current: c.tenure.named()})
}

// askForPromises asks the witnesses and other peers while the store does not confirm the term.
func (c *Core) askForPromises() {
	if c.ownedTerm == 0 || c.now-c.confirmedAt <= c.settings.QueryPeersAfter || c.now < c.nextPeerQuery {
		return
	}
	c.nextPeerQuery = c.now + c.settings.RetryInterval
	c.emit(QueryPeers{})
	if asked := c.tenure.asked(); len(asked) > 0 {
		c.emit(AskPromises{Term: c.ownedTerm, Renewal: c.tenure.storedRenewal, Witnesses: asked, At: c.now})
	}
}

// onPromised confirms the term if enough witnesses have promised. It is confirmed as of the time
// when they were asked, and not for longer than KeepLimit after a stored renewal, as a claim
// needs no consent any more then.
func (c *Core) onPromised(e Promised) {
	if c.ownedTerm == 0 || e.Term != c.ownedTerm {
		return
	}
	c.tenure.promises[e.Witness] = max(c.tenure.promises[e.Witness], e.At)
	at := min(c.tenure.promisedAt(), c.tenure.storedAt+c.settings.KeepLimit)
	if at > c.confirmedAt {
		c.confirmedAt = at
		c.emit(Confirmed{At: at})
	}
}
