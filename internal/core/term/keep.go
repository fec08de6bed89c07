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
// when they were asked: for starts not for longer than StartLimit after a stored renewal, as a claim
// needs no consent any more then, and for leases not for longer than KeepLimit, which the next owner
// allows for.
func (c *Core) onPromised(e Promised) {
	if c.ownedTerm == 0 || e.Term != c.ownedTerm {
		return
	}
	c.tenure.promises[e.Witness] = max(c.tenure.promises[e.Witness], e.At)
	promisedAt := c.tenure.promisedAt()
	c.confirmedAt = max(c.confirmedAt, min(promisedAt, c.tenure.storedAt+c.settings.KeepLimit))
	if at := min(promisedAt, c.tenure.storedAt+c.settings.StartLimit); at > c.startConfirmedAt {
		c.startConfirmedAt = at
		c.emit(Confirmed{At: at})
	}
}

// KeptUntil returns until when the owned term is kept, and leases are renewed, if nothing confirms it
// again; 0 if none is owned.
func (c *Core) KeptUntil() time.Duration {
	if c.ownedTerm == 0 {
		return 0
	}
	return c.confirmedAt + c.settings.ConfirmTimeout
}
