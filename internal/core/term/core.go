package term

import "time"

// Core is one instance's view of the cell's term.
type Core struct {
	settings Settings
	self     string
	addr     string
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
	// confirmedAt is when the latest confirmed renewal was sent, or when the peers last
	// reported that none of them can claim.
	confirmedAt time.Duration
	// storeConfirmedAt is when the latest renewal that the store confirmed was sent.
	storeConfirmedAt time.Duration
	// pendingWrites is the number of unanswered writes.
	pendingWrites int
	nextWrite     time.Duration
	// sentRenewal is the number of the latest renewal sent, sentAt when it was first sent.
	sentRenewal   int64
	sentAt        time.Duration
	nextPeerQuery time.Duration
	stopping      bool
	// termSince is when the present term was first seen, nextYieldRequest the earliest
	// time of the next RequestYield.
	termSince          time.Duration
	nextYieldRequest   time.Duration
	allTopicsReachable bool
	now                time.Duration
	actions            []Action
}

// New returns the state of the instance self, which its peers reach at addr.
func New(s Settings, self, addr string) *Core { return &Core{settings: s, self: self, addr: addr} }

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
	return now - c.storeConfirmedAt, c.ownedTerm != 0
}

// Step processes an event and returns the resulting actions.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.now, c.actions = now, nil
	switch e := ev.(type) {
	case ReadResult:
		c.onReadResult(e)
	case PeerRecord:
		c.observe(e.Record)
	case ReadFailed:
		c.storeOK = false
	case WriteResult:
		c.onWriteResult(e)
	case PeersCutOff:
		c.confirmedAt = max(c.confirmedAt, now)
		c.emit(Confirmed{At: now})
	case PeersReachStore:
		c.handOver()
	case HigherTermSeen:
		c.onHigherTermSeen()
	case Stopping:
		c.stop()
	case YieldRequested:
		c.yield(e)
	case Tick:
		c.allTopicsReachable = e.AllTopicsReachable
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
	c.end = max(c.end, e.End)
	for _, r := range e.Records {
		c.observe(r)
		c.confirmByRead(r)
	}
}

// confirmByRead handles a read that shows this instance's latest renewal. The renewal
// was written even if its answer was lost, so no other instance owned a later term
// when it was sent.
func (c *Core) confirmByRead(r Record) {
	if c.ownedTerm == 0 || r.Term != c.ownedTerm || r.Owner != c.self || r.Renewal != c.sentRenewal || c.sentAt <= c.confirmedAt {
		return
	}
	c.confirmedAt, c.storeConfirmedAt = c.sentAt, max(c.storeConfirmedAt, c.sentAt)
	c.emit(Confirmed{At: c.sentAt})
	c.nextWrite = c.sentAt + c.settings.RenewInterval
}

// observe adopts a record if it is newer than the latest known one.
func (c *Core) observe(r Record) {
	if r.Term < c.latest.Term || (r.Term == c.latest.Term && r == c.latest) {
		return
	}
	if r.Term == c.latest.Term && r.Renewal < c.latest.Renewal {
		return
	}
	if r.Term != c.latest.Term {
		c.termSince = c.now
	}
	c.latest, c.changedAt = r, c.now
	switch {
	case r.Owner == c.self && !r.Released && c.lastOwnedTerm < r.Term:
		c.gain(r.Term)
	case c.ownedTerm != 0 && r.Term > c.ownedTerm:
		c.lose(ReasonHigherTerm)
	}
}

// gain makes this instance the owner. It also handles a claim that was written although
// its answer was lost.
func (c *Core) gain(t int64) {
	if c.stopping {
		return
	}
	c.ownedTerm, c.lastOwnedTerm, c.confirmedAt, c.storeConfirmedAt = t, t, c.now, c.now
	c.nextWrite = c.now + c.settings.RenewInterval
	c.emit(Gained{Term: t})
}

func (c *Core) lose(reason Reason) {
	c.emit(Lost{Term: c.ownedTerm, Reason: reason})
	c.ownedTerm = 0
}

func (c *Core) onWriteResult(e WriteResult) {
	c.pendingWrites--
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
	default:
		c.nextWrite = c.now + c.settings.RetryInterval
		return // a conflicting record is read next
	}
	c.end = max(c.end, e.End)
	c.nextWrite = c.now + c.settings.RenewInterval
	c.observe(e.Record)
	if c.ownedTerm == e.Record.Term {
		c.confirmedAt, c.storeConfirmedAt = max(c.confirmedAt, e.SentAt), max(c.storeConfirmedAt, e.SentAt)
		c.emit(Confirmed{At: e.SentAt})
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
		c.release(ReasonReleased)
	}
}

func (c *Core) release(reason Reason) {
	r := c.newRecord(c.ownedTerm, c.latest.Renewal+1)
	r.Released = true
	c.lose(reason)
	c.emit(Write{Record: r, ExpectedEnd: c.end})
}

// newRecord returns a record of this instance.
func (c *Core) newRecord(t, renewal int64) Record {
	return Record{Term: t, Owner: c.self, Addr: c.addr, Renewal: renewal, ClaimDelay: c.settings.ClaimDelay}
}

// advance does what has become due.
func (c *Core) advance() {
	if c.ownedTerm != 0 && c.now-c.confirmedAt > c.settings.ConfirmTimeout {
		c.lose(ReasonUnconfirmed)
	}
	if c.ownedTerm != 0 && c.now-c.confirmedAt > c.settings.QueryPeersAfter && c.now >= c.nextPeerQuery {
		c.nextPeerQuery = c.now + c.settings.RetryInterval
		c.emit(QueryPeers{})
	}
	c.requestYield()
	if c.stopping || c.pendingWrites >= maxPendingWrites || !c.loaded || c.now < c.nextWrite {
		return
	}
	switch {
	case c.ownedTerm != 0:
		c.write(c.newRecord(c.ownedTerm, c.latest.Renewal+1))
	case c.canClaim():
		c.write(c.newRecord(c.latest.Term+1, 0))
	}
}

// maxPendingWrites limits the number of unanswered writes.
const maxPendingWrites = 3

func (c *Core) write(r Record) {
	c.pendingWrites++
	c.nextWrite = c.now + c.settings.HedgeAfter
	if r.Renewal != c.sentRenewal || c.sentAt == 0 {
		c.sentRenewal, c.sentAt = r.Renewal, c.now
	}
	c.emit(Write{Record: r, ExpectedEnd: c.end})
}

// canClaim reports whether the owner of the latest term must be considered gone.
func (c *Core) canClaim() bool {
	if !c.storeOK {
		return false
	}
	wait := c.settings.StaleAfter + c.settings.ClaimDelay
	if c.latest.Term == 0 || c.latest.Released || c.ownerIsPredecessor() || c.latest.Owner == c.self {
		wait = c.settings.ClaimDelay
	}
	return c.now-max(c.changedAt, c.storeOKSince) >= wait
}

// ownerIsPredecessor reports whether the owner was an earlier incarnation of this
// process. It is gone, as two processes can't listen on one address.
func (c *Core) ownerIsPredecessor() bool { return c.latest.Addr == c.addr && c.latest.Owner != c.self }
