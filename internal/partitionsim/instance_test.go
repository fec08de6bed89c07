package partitionsim

import (
	"fmt"
	"time"

	"coltsfootmux/internal/core/capacity"
	"coltsfootmux/internal/core/cell"
	"coltsfootmux/internal/core/confidence"
	"coltsfootmux/internal/core/term"
	"coltsfootmux/internal/core/witness"
)

// instance is a process that may own the cell. The process at a host may be killed and
// started again as another incarnation.
type instance struct {
	sim        *simulation
	host       host
	settings   term.Settings
	dataCentre string
	// machine is that of the host; its figures are not known in most scenarios.
	machine capacity.Machine
	// clockOffset is the difference between this host's clock and the simulation's at its
	// start, clockRate its speed, 1 for true time.
	clockOffset time.Duration
	clockRate   float64
	incarnation int
	alive       bool
	// paused processes handle nothing; backlog holds what they have to handle then.
	paused  bool
	backlog []func()
	// processor is that of the host.
	processor processor

	term *term.Core
	// witness is the state of this incarnation as a witness.
	witness   *witness.Core
	witnessID witness.ID
	// checkedTerm is the owned term whose witnesses are being checked, 0 for none.
	checkedTerm int64
	// checkAgain says that another check has been asked for meanwhile.
	checkAgain bool
	// stopping is set once the process has begun to stop.
	stopping bool
	owner    *owner
	// confidence is this incarnation's judgement of the owner.
	confidence *confidence.Core
	// storeAvailable is set while the store answers this instance, storeAnsweredAt when it last did.
	storeAvailable  bool
	storeAnsweredAt time.Duration
	readers         []*reader
	// reachedAt is when workers were last probed for an owner.
	reachedAt time.Duration
	// lastFailure is when a peer last failed to answer.
	lastFailure map[host]time.Duration
}

const (
	tickInterval = 50 * time.Millisecond
	// lagWindow is the time of which the lag counts for a request of a term, as in package instance.
	lagWindow = time.Second
	// weakTermReadInterval is the least time between two reads of the term by an instance
	// with a claim delay.
	weakTermReadInterval = time.Second
)

func newInstance(s *simulation, n int) *instance {
	return &instance{
		sim: s, host: host(fmt.Sprintf("i%d", n)), settings: s.termSettings(), dataCentre: dataCentreOf(n),
		clockOffset: s.between(time.Minute, time.Hour), clockRate: 1,
	}
}

// name returns the name of the present incarnation, as MACHINE/START.
func (i *instance) name() string { return fmt.Sprintf("%s/%d", i.host, i.incarnation) }

// clock returns the time of the host's clock.
func (i *instance) clock() time.Duration {
	return i.clockOffset + time.Duration(float64(i.sim.now)*i.clockRate)
}

// trueTime returns the simulation's time at a time of the host's clock.
func (i *instance) trueTime(clock time.Duration) time.Duration {
	return time.Duration(float64(clock-i.clockOffset) / i.clockRate)
}

func (i *instance) instant() cell.Instant {
	return cell.Instant{Mono: i.clock(), UnixMS: i.sim.now.Milliseconds()}
}

// deliver calls do after the given time if this incarnation is still alive then, and not
// before the end of a pause or before it has time for it.
func (i *instance) deliver(after time.Duration, do func()) {
	incarnation := i.incarnation
	run := func() {
		if i.alive && i.incarnation == incarnation {
			do()
		}
	}
	i.sim.schedule(after, func() { i.handle(run) })
}

// start starts a new incarnation.
func (i *instance) start() {
	if i.alive {
		return
	}
	i.incarnation++
	delete(i.sim.net.hostsDown, i.host)
	i.alive, i.paused, i.backlog = true, false, nil
	i.storeAvailable, i.owner = true, nil
	i.checkedTerm, i.checkAgain, i.stopping, i.reachedAt = 0, false, false, 0
	i.lastFailure = make(map[host]time.Duration)
	i.term = term.New(i.settings, i.name(), string(i.host))
	i.witnessID = witness.IDOf(i.name())
	i.witness = witness.New(i.witnessID, i.settings.StaleAfter, i.clock())
	i.confidence = confidence.New()
	r := &reader{
		inst: i, topic: &i.sim.store.terms, next: unread, ended: i.endedFunc(), minInterval: i.termReadInterval(),
		onError: func() { i.stepTerm(term.ReadFailed{}) },
	}
	r.onPage = func(records []any, next int64) {
		i.handleTermRecords(records, next)
		r.minInterval = i.termReadInterval()
	}
	i.readers = []*reader{r}
	r.read(0)
	i.tick()
	i.readMembers(membersStartDelay)
	i.probeWhileUnavailable()
	i.pollPeers()
}

// endedFunc returns a function that reports whether the present incarnation has ended.
func (i *instance) endedFunc() func() bool {
	incarnation := i.incarnation
	return func() bool { return !i.alive || i.incarnation != incarnation }
}

// kill ends the process.
func (i *instance) kill() {
	if i.owner != nil {
		i.owner.end()
	}
	i.alive, i.paused, i.backlog, i.owner, i.readers = false, false, nil, nil, nil
}

// pause stops the process for a while. Then it handles what has arrived, in any order if
// shuffled.
func (i *instance) pause(d time.Duration, shuffled bool) {
	i.paused = true
	incarnation := i.incarnation
	i.sim.tracef("%s paused for %v", i.name(), d)
	i.sim.schedule(d, func() {
		if i.alive && i.paused && i.incarnation == incarnation {
			i.resume(shuffled)
		}
	})
}

func (i *instance) resume(shuffled bool) {
	i.sim.tracef("%s resumes", i.name())
	i.paused = false
	backlog := i.backlog
	i.backlog = nil
	if shuffled {
		i.sim.rng.Shuffle(len(backlog), func(a, b int) { backlog[a], backlog[b] = backlog[b], backlog[a] })
	}
	for _, do := range backlog {
		do()
	}
}

// tick passes the time to the cores.
func (i *instance) tick() {
	i.stepTerm(term.Tick{AllTopicsReachable: i.storeAvailable, Lag: i.processor.lag.Since(i.sim.now, i.sim.now-lagWindow)})
	if i.owner != nil {
		i.owner.step(cell.Tick{Lag: i.processor.lag.Now(i.sim.now)})
		i.owner.checkReach()
	}
	i.stepConfidence(confidence.Tick{View: i.ownerView()})
	i.deliver(tickInterval, i.tick)
}

func (i *instance) handleTermRecords(records []any, next int64) {
	ev := term.ReadResult{End: next}
	for _, r := range records {
		switch r := r.(type) {
		case term.Record:
			ev.Records = append(ev.Records, r)
		case term.Vote:
			ev.Votes = append(ev.Votes, r)
		}
	}
	i.stepTerm(ev)
}

// stepTerm passes an event to the term's core and performs its actions.
func (i *instance) stepTerm(ev term.Event) {
	for _, a := range i.term.Step(i.clock(), ev) {
		i.performTermAction(a)
	}
	if i.owner != nil {
		i.sim.checkMayRenew(i.owner)
	}
}

func (i *instance) performTermAction(a term.Action) {
	switch a := a.(type) {
	case term.Write:
		i.deliver(i.sim.between(0, maxSendDelay), func() { i.writeTerm(a) })
	case term.Gained:
		i.sim.tracef("%s gains term %d", i.name(), a.Term)
		i.sim.ownerships++
		i.owner = newOwner(i, a)
		i.deliver(0, i.owner.takeOver)
	case term.Lost:
		i.sim.tracef("%s loses term %d: %s", i.name(), a.Term, a.Reason)
		if i.owner != nil {
			i.owner.end()
			i.owner = nil
		}
	case term.EarlierOwnersEnd:
		if o := i.owner; o != nil {
			i.sim.tracef("%s: earlier owners end in %v", i.name(), a.At-i.clock())
			i.deliver(0, func() { o.endEarlierOwners(a.At) })
		}
	case term.Confirmed:
		if o := i.owner; o != nil {
			i.deliver(0, func() { o.confirmTerm(a.At) })
		}
	default:
		i.performPeerAction(a)
	}
}

// writeTerm appends a term record on the core's condition.
func (i *instance) writeTerm(a term.Write) {
	w := term.WriteResult{Record: a.Record, ExpectedEnd: a.ExpectedEnd, SentAt: i.clock()}
	execute := func(reply func()) {
		w.Outcome = i.sim.appendTerm(a.Record, a.ExpectedEnd)
		w.End = i.sim.store.terms.end()
		reply()
	}
	i.callStore(i.sim.appendTimeout(), execute, func(r callResult) {
		switch r {
		case callRefused:
			w.Outcome = term.WriteFailed
		case callUnknown:
			w.Outcome = term.WriteOutcomeUnknown
		}
		i.stepTerm(w)
	})
}
