package term

import (
	"time"

	"coltsfootmux/internal/core/capacity"
	"coltsfootmux/internal/core/shed"
	"coltsfootmux/internal/core/witness"
)

// Core is one instance's view of the cell's term.
type Core struct {
	settings Settings
	self     string
	addr     string
	// rank is that of this machine in the fleet, 0 while it is not known.
	rank capacity.Rank
	// loaded says that the record has been read, and end is the offset up to which the
	// topic has been read. Each write expects this end, so that it fails if a record has
	// not been read yet.
	loaded bool
	latest Record
	end    int64
	// changedAt is when the latest record was last seen to change. storeOK says that the
	// latest read and claim were answered, storeOKSince since when.
	changedAt    time.Duration
	storeOKSince time.Duration
	storeOK      bool
	// ownedTerm is the term that this instance owns, 0 for none; lastOwnedTerm is the last
	// one that it owned. A term is owned only once, as the numbers that were issued under
	// it can't be issued again.
	ownedTerm     int64
	lastOwnedTerm int64
	// confirmedAt is a time until which no later term was claimed: when the latest stored renewal
	// was sent, or enough witnesses were asked that have promised.
	confirmedAt time.Duration
	// startConfirmedAt is the latest time of a Confirmed of the owned term.
	startConfirmedAt time.Duration
	// earlierUntil is until when owners of terms before the latest one may renew leases.
	earlierUntil time.Duration
	// followed is the record that the latest claim of this instance follows, if it had no consents.
	followed followed
	// tenure is what is known of the owned term.
	tenure tenure
	// consents holds the witnesses of the latest record that have consented to a claim,
	// nextConsentQuery is the earliest time at which they are asked again.
	// consentInterval is the time between the two latest questions.
	consents         map[witness.ID]bool
	wait             claimWait
	nextConsentQuery time.Duration
	consentInterval  time.Duration
	// pendingWrites is the number of unanswered writes.
	pendingWrites int
	nextWrite     time.Duration
	// attempts are those to write the latest record that was sent.
	attempts      attempts
	nextPeerQuery time.Duration
	stopping      bool
	// termSince is when the present term was first seen.
	termSince          time.Duration
	requests           requests
	allTopicsReachable bool
	// lag is how late this process runs its own work.
	lag time.Duration
	// refused is how much new work this owner has all instances refuse.
	refused shed.Level
	// unfitUntil is until when this instance leaves the claim after its own latest term to others, as it
	// was unfit for it, and pausedUntil is until when it claims nothing, as it was paused.
	unfitUntil  time.Duration
	pausedUntil time.Duration
	// shortTerms is the number of terms in a row that this instance has lost without a confirmation
	// soon after it gained them.
	shortTerms int
	// pauses are those of this process while it owned the term, of the last ConfirmTimeout.
	pauses []pause
	// pendingRelease is the release that is not known to be stored, nil if there is none.
	pendingRelease *pendingRelease
	// released is that of the latest term if it is released, yieldReach that of one to be requested.
	released, yieldReach reach
	// verdict says that this instance is unfit for its term.
	verdict verdict
	// unnamedSince and fewNamedSince are since when the latest record names no witnesses, or too few.
	unnamedSince  time.Duration
	fewNamedSince time.Duration
	// votes are those against the owner of the latest term, yieldVotes the requests to yield that this
	// instance has made by the store.
	votes      votes
	yieldVotes yieldVotes
	now        time.Duration
	actions    []Action
}

// New returns the state of the instance self, which its peers reach at addr.
func New(s Settings, self, addr string) *Core {
	return &Core{settings: s, self: self, addr: addr, consents: make(map[witness.ID]bool)}
}

// OwnerRecord returns the latest known record; ok is false if there is none or its term was
// released.
func (c *Core) OwnerRecord() (rec Record, ok bool) {
	return c.latest, c.latest.Term > 0 && !c.latest.Released
}

// LatestRecord returns the latest known record, even if its term was released.
func (c *Core) LatestRecord() Record { return c.latest }

// SinceStored returns how long ago the latest stored renewal of the owned term was sent; ok is
// false if this instance owns no term.
func (c *Core) SinceStored(now time.Duration) (since time.Duration, ok bool) {
	return now - c.tenure.storedAt, c.ownedTerm != 0
}

// Step processes an event and returns the resulting actions.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	before := c.now
	c.now, c.actions = now, nil
	c.observePause(before)
	switch e := ev.(type) {
	case ReadResult:
		c.onReadResult(e)
	case PeerRecord:
		c.observe(e.Record)
	case ReadFailed:
		c.storeOK = false
	case WriteResult:
		c.onWriteResult(e)
	case Promised:
		c.onPromised(e)
	case Consented:
		c.onConsented(e)
		c.onLateConsent(e)
	case ConsentRefused:
		c.onConsentRefused(e)
	case WitnessPresent:
		c.onWitnessPresent(e)
	case WitnessesChecked:
		if e.Term == c.ownedTerm {
			c.tenure.checked(now, e.Answered)
		}
	case MembersChanged:
		c.tenure.nextCheck = now
	case PeersReachStore:
		c.handOver()
	case HigherTermSeen:
		c.onHigherTermSeen()
	case Stopping:
		c.stop()
	case YieldRequested:
		c.yield(e)
	case Ranked:
		c.rank = e.Rank
	case Unfit:
		c.onUnfit(e)
	case YieldUnanswered:
		c.requestYieldByVote(e)
	case Tick:
		c.allTopicsReachable, c.refused, c.lag = e.AllTopicsReachable, e.Refused, e.Lag
	}
	c.advance()
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) onReadResult(e ReadResult) {
	if !c.storeOK {
		c.storeOK, c.storeOKSince = true, c.now
	}
	c.loaded = true
	readTo := c.end
	c.end = max(c.end, e.End)
	for _, r := range e.Records {
		c.observe(r)
		c.confirmByRead(r)
	}
	c.onVotes(readTo, e.Votes)
	c.repeatBarredRenewal()
}

// confirmByRead handles a read that shows this instance's latest renewal. The renewal
// was written even if its answer was lost, so no other instance owned a later term
// when it was sent.
func (c *Core) confirmByRead(r Record) {
	if c.ownedTerm == 0 || r.Owner != c.self || !c.attempts.of(r) || r.Term != c.ownedTerm || c.attempts.sentAt <= c.tenure.storedAt {
		return
	}
	c.confirmStored(c.attempts.sentAt)
	c.nextWrite = c.attempts.sentAt + c.settings.RenewInterval
}

// confirmStored records that a renewal that was sent at the given time is stored.
func (c *Core) confirmStored(sentAt time.Duration) {
	c.tenure.storedAt = max(c.tenure.storedAt, sentAt)
	c.tenure.answeredAt = c.now
	c.confirmedAt = max(c.confirmedAt, sentAt)
	c.startConfirmedAt = max(c.startConfirmedAt, sentAt)
	c.emit(Confirmed{At: sentAt})
}

// observe adopts a record if it is newer than the latest known one.
func (c *Core) observe(r Record) {
	if r.position() == c.latest.position() && r.Released == c.latest.Released || r.position().Before(c.latest.position()) {
		return
	}
	if r.Term != c.latest.Term {
		c.termSince = c.now
	}
	if r.Term != c.latest.Term || len(c.latest.Witnesses) > 0 {
		c.unnamedSince = c.now
	}
	if r.Term != c.latest.Term || len(c.latest.Witnesses) >= minNamed {
		c.fewNamedSince = c.now
	}
	c.observeEarlierOwners(r)
	c.observeRelease(r)
	c.latest, c.changedAt = r, c.now
	clear(c.consents)
	c.wait = claimWait{}
	c.consentInterval = 0
	switch {
	case r.Owner == c.self && !r.Released && c.lastOwnedTerm < r.Term:
		c.gain(r)
	case c.ownedTerm != 0 && r.Term == c.ownedTerm:
		c.tenure.stored(r)
	case c.ownedTerm != 0 && r.Term > c.ownedTerm:
		c.lose(ReasonHigherTerm)
	}
}

// gain makes this instance the owner. It also handles a claim that was written although
// its answer was lost. The term counts as confirmed as of when the claim was sent: others may
// have claimed the next one since.
func (c *Core) gain(r Record) {
	if c.stopping {
		return
	}
	var sentAt time.Duration
	if c.attempts.of(r) {
		sentAt = c.attempts.sentAt
	}
	c.ownedTerm, c.lastOwnedTerm, c.confirmedAt, c.startConfirmedAt = r.Term, r.Term, sentAt, sentAt
	c.tenure = newTenure(sentAt)
	c.tenure.handovers, c.tenure.gainedAt = r.Handovers, c.now
	c.nextWrite = sentAt + c.settings.RenewInterval
	c.emit(Gained{Term: r.Term, At: sentAt, EarlierUntil: c.earlierUntil})
}

func (c *Core) lose(reason Reason) {
	c.emit(Lost{Term: c.ownedTerm, Reason: reason})
	if reason == ReasonUnconfirmed || reason == ReasonHigherTerm {
		c.requests.lostTerm(c.now, c.now-c.tenure.gainedAt)
	}
	c.ownedTerm = 0
}

func (c *Core) onWriteResult(e WriteResult) {
	c.pendingWrites--
	c.attempts.answered(e)
	if c.ownedTerm == 0 && (e.Outcome == WriteOutcomeUnknown || e.Outcome == WriteFailed) {
		// A pending long poll may not have noticed that the store is unreachable.
		// Without this, the instances that notice it last would claim first once the
		// store is back.
		c.storeOK = false
	}
	switch e.Outcome {
	case WriteDone:
	case WriteOutcomeUnknown:
		return // already sent again, or read later if it was written after all
	case WriteConflict:
		c.onConflict()
		return
	default:
		c.nextWrite = c.now + c.settings.RetryInterval
		return // a conflicting record is read next
	}
	c.end = max(c.end, e.End)
	c.nextWrite = c.now + c.settings.RenewInterval
	c.observe(e.Record)
	if c.ownedTerm == e.Record.Term {
		c.confirmStored(e.SentAt)
	}
}

func (c *Core) onHigherTermSeen() {
	if c.ownedTerm != 0 {
		c.lose(ReasonHigherTerm)
	}
	c.nextWrite = c.now + c.settings.StaleAfter
}

// stop releases the term, so that another instance claims the next one at once.
func (c *Core) stop() {
	c.stopping = true
	if c.ownedTerm != 0 {
		c.release(ReasonReleased, "")
	}
}

// release releases the term, for the instance at the address successor if that is not empty.
func (c *Core) release(reason Reason, successor string) {
	r := c.newRecord(c.ownedTerm, c.latest.Renewal+1)
	r.Released, r.Successor = true, successor
	c.lose(reason)
	c.sendRelease(r)
}

// newRecord returns a record of this instance. A claim goes on with what the owner before refused.
func (c *Core) newRecord(t, renewal int64) Record {
	refused := c.latest.Refused
	if c.ownedTerm != 0 {
		refused = c.refused
	}
	return Record{
		Refused: refused,
		Term:    t, Owner: c.self, Addr: c.addr, Renewal: renewal, ClaimDelay: c.claimDelay(), Rank: c.rank,
		Handovers: c.handovers(), EarlierOwners: max(0, c.earlierUntil-c.now), StartLimit: c.settings.StartLimit,
	}
}

// advance does what has become due.
func (c *Core) advance() {
	if c.ownedTerm != 0 && c.now-c.confirmedAt > c.settings.ConfirmTimeout {
		c.loseUnconfirmed()
	}
	c.followVerdict()
	c.followVotes()
	c.askForPromises()
	c.checkWitnesses()
	c.askForConsents()
	c.askForPresence()
	c.askEarlierWitnesses()
	c.reportWait()
	c.requestYield()
	c.retryRelease()
	if c.stopping || c.pendingWrites >= maxPendingWrites || !c.loaded || c.now < c.nextWrite {
		return
	}
	switch {
	case c.ownedTerm != 0:
		r := c.newRecord(c.ownedTerm, c.latest.Renewal+1)
		r.Witnesses, c.tenure.proposalSent = c.tenure.named(), true
		c.write(r)
	case c.canClaim():
		c.write(c.newClaim())
	}
}

// maxPendingWrites limits the number of unanswered writes.
const maxPendingWrites = 3

func (c *Core) write(r Record) {
	c.pendingWrites++
	c.nextWrite = c.now + c.settings.HedgeAfter
	c.attempts.add(c.now, r, c.end)
	c.emit(Write{Record: r, ExpectedEnd: c.end})
}

// ownerIsPredecessor reports whether the owner was an earlier incarnation of this
// process. It is gone, as two processes can't listen on one address. Several machines may have
// one address if it is that of a forwarder.
func (c *Core) ownerIsPredecessor() bool {
	return c.latest.Addr == c.addr && c.latest.Owner != c.self && witness.MachineOf(c.latest.Owner) == witness.MachineOf(c.self)
}
