package term

import "time"

// Core is the state of one instance towards a cell's term.
type Core struct {
	settings Settings
	self     string
	addr     string
	// known says that the record's state has been read, end up to where. A write
	// names end as its condition, so that it fails if there is anything unread.
	known bool
	rec   Record
	end   int64
	// changedAt is when the record was last seen to change, okSince since when
	// every read and claim was answered.
	changedAt time.Duration
	okSince   time.Duration
	ok        bool
	// owns is the term that this life owns, 0 for none; had is the last one that it
	// owned. A term is owned once: what was numbered under it can't be numbered anew.
	owns int64
	had  int64
	// provenAt is when the latest confirmed renewal was sent, or when peers last
	// agreed that nobody can claim.
	provenAt time.Duration
	// writes is how many writes are without an answer.
	writes    int
	nextWrite time.Duration
	// sentRenewal is the number of the last renewal that was sent, sentAt when it
	// was first sent.
	sentRenewal int64
	sentAt      time.Duration
	nextAsk     time.Duration
	leaving     bool
	// since is when the present owner's term was first seen, nextYield when it may
	// be asked for next, whole whether no part of the store is lost.
	since     time.Duration
	nextYield time.Duration
	whole     bool
	now       time.Duration
	actions   []Action
}

// New makes the state of a life that others reach at addr.
func New(s Settings, self, addr string) *Core { return &Core{settings: s, self: self, addr: addr} }

// Owner gives the newest record that is known; ok is false when there is none.
func (c *Core) Owner() (rec Record, ok bool) {
	return c.rec, c.rec.Term > 0 && !c.rec.Released
}

// Newest gives the newest record that is known, also one of a term given up.
func (c *Core) Newest() Record { return c.rec }

// Step takes an event in and gives what is to be done.
func (c *Core) Step(now time.Duration, ev Event) []Action {
	c.now, c.actions = now, nil
	switch e := ev.(type) {
	case ReadResult:
		c.observed(e)
	case PeerRecord:
		c.take(e.Record)
	case ReadFailed:
		c.ok = false
	case WriteResult:
		c.written(e)
	case PeersCutOff:
		c.provenAt = max(c.provenAt, now)
		c.act(Confirmed{At: now})
	case PeersReachStore:
		c.handOver()
	case HigherTermSeen:
		c.deposed()
	case Stopping:
		c.leave()
	case YieldRequested:
		c.yieldTo(e)
	case Tick:
		c.whole = e.AllTopicsReachable
	}
	c.advance()
	return c.actions
}

func (c *Core) act(a Action) { c.actions = append(c.actions, a) }

func (c *Core) observed(e ReadResult) {
	if !c.ok {
		c.ok, c.okSince = true, c.now
	}
	c.known = true
	c.end = max(c.end, e.End)
	for _, r := range e.Records {
		c.take(r)
		c.prove(r)
	}
}

// prove takes in that a renewal of this life was carried out, whose answer may
// be lost: nobody else owned a later term when it was sent.
func (c *Core) prove(r Record) {
	if c.owns == 0 || r.Term != c.owns || r.Owner != c.self || r.Renewal != c.sentRenewal || c.sentAt <= c.provenAt {
		return
	}
	c.provenAt = c.sentAt
	c.act(Confirmed{At: c.sentAt})
	c.nextWrite = c.sentAt + c.settings.RenewInterval
}

// take compares a record with what is known; records of lower terms are late
// and mean nothing.
func (c *Core) take(r Record) {
	if r.Term < c.rec.Term || (r.Term == c.rec.Term && r == c.rec) {
		return
	}
	if r.Term == c.rec.Term && r.Renewal < c.rec.Renewal {
		return
	}
	if r.Term != c.rec.Term {
		c.since = c.now
	}
	c.rec, c.changedAt = r, c.now
	switch {
	case r.Owner == c.self && !r.Released && c.had < r.Term:
		c.gain(r.Term)
	case c.owns != 0 && r.Term > c.owns:
		c.lose(ReasonHigherTerm)
	}
}

// gain makes this life the owner; a claim without an answer that has been
// carried out counts as one with an answer.
func (c *Core) gain(t int64) {
	if c.leaving {
		return
	}
	c.owns, c.had, c.provenAt = t, t, c.now
	c.nextWrite = c.now + c.settings.RenewInterval
	c.act(Gained{Term: t})
}

func (c *Core) lose(why Reason) {
	c.act(Lost{Term: c.owns, Reason: why})
	c.owns = 0
}

func (c *Core) written(e WriteResult) {
	c.writes--
	if c.owns == 0 && (e.Outcome == WriteOutcomeUnknown || e.Outcome == WriteFailed) {
		// A read that waits may not have noticed that the store is away. Without
		// this the machines that notice it last would claim first on its return.
		c.ok = false
	}
	switch e.Outcome {
	case WriteDone:
	case WriteOutcomeUnknown:
		return // made again already, or read if it was carried out after all
	default:
		c.nextWrite = c.now + c.settings.RetryInterval
		return // what was written instead is read next
	}
	c.end = max(c.end, e.End)
	c.nextWrite = c.now + c.settings.RenewInterval
	c.take(e.Record)
	if c.owns == e.Record.Term {
		c.provenAt = max(c.provenAt, e.SentAt)
		c.act(Confirmed{At: e.SentAt})
	}
}

func (c *Core) deposed() {
	if c.owns != 0 {
		c.lose(ReasonHigherTerm)
	}
	c.nextWrite = c.now + c.settings.StaleAfter
}

// leave gives the term up, so that another is claimed at once.
func (c *Core) leave() {
	c.leaving = true
	if c.owns != 0 {
		c.release(ReasonReleased)
	}
}

func (c *Core) release(why Reason) {
	r := c.record(c.owns, c.rec.Renewal+1)
	r.Released = true
	c.lose(why)
	c.act(Write{Record: r, ExpectedEnd: c.end})
}

// record gives a record of this life.
func (c *Core) record(t, renewal int64) Record {
	return Record{Term: t, Owner: c.self, Addr: c.addr, Renewal: renewal, ClaimDelay: c.settings.ClaimDelay}
}

// advance does what the time asks for.
func (c *Core) advance() {
	if c.owns != 0 && c.now-c.provenAt > c.settings.ConfirmTimeout {
		c.lose(ReasonUnconfirmed)
	}
	if c.owns != 0 && c.now-c.provenAt > c.settings.QueryPeersAfter && c.now >= c.nextAsk {
		c.nextAsk = c.now + c.settings.RetryInterval
		c.act(QueryPeers{})
	}
	c.askYield()
	if c.leaving || c.writes >= maxWrites || !c.known || c.now < c.nextWrite {
		return
	}
	switch {
	case c.owns != 0:
		c.write(c.record(c.owns, c.rec.Renewal+1))
	case c.claimable():
		c.write(c.record(c.rec.Term+1, 0))
	}
}

// maxWrites bounds the writes without an answer.
const maxWrites = 3

func (c *Core) write(r Record) {
	c.writes++
	c.nextWrite = c.now + c.settings.HedgeAfter
	if r.Renewal != c.sentRenewal || c.sentAt == 0 {
		c.sentRenewal, c.sentAt = r.Renewal, c.now
	}
	c.act(Write{Record: r, ExpectedEnd: c.end})
}

// claimable says whether the term's owner has to be taken as gone.
func (c *Core) claimable() bool {
	if !c.ok {
		return false
	}
	wait := c.settings.StaleAfter + c.settings.ClaimDelay
	if c.rec.Term == 0 || c.rec.Released || c.isPredecessor() || c.rec.Owner == c.self {
		wait = c.settings.ClaimDelay
	}
	return c.now-max(c.changedAt, c.okSince) >= wait
}

// isPredecessor says whether the owner was an earlier life of this process,
// which is gone: two can't listen on one address.
func (c *Core) isPredecessor() bool { return c.rec.Addr == c.addr && c.rec.Owner != c.self }
