package scheduler

import (
	"context"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/membership"
	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/core/placement"
	"coltsfootmux/internal/mapping"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/wire"
)

// refreshesPerRetention is how often within the log's retention a claim is
// appended anew.
const refreshesPerRetention = 4

// loop owns the cores and everything that changes with them. Only its own
// goroutine touches its fields.
type loop struct {
	s       *Scheduler
	ctx     context.Context
	own     *ownership.Core
	members *membership.Core
	led     *ledger.Core
	pl      *placement.Core
	conf    *config.Versioned
	maps    *mapping.Mapping

	cells    map[model.CellID]*ownedCell
	groups   map[model.GroupID]*ownedGroup
	attempts map[model.Key]*attempt
	waiters  map[ledger.Waiter]chan wire.SubmitReply
	byReply  map[chan wire.SubmitReply]ledger.Waiter
	cancels  map[ledger.Waiter]chan wire.CancelReply
	lastWait ledger.Waiter
	awaiting []*awaited
	targets  []ownership.Target
	jobs     openJobs
}

// ownedCell is a cell that this scheduler owns.
type ownedCell struct {
	cell  model.Cell
	epoch model.Epoch
	stop  context.CancelFunc
}

// ownedGroup is a key group that this scheduler owns. It is ready once the log's
// part of its history has been read or given up.
type ownedGroup struct {
	epoch model.Epoch
	found []ledger.Found
	gap   time.Time
	// unbroken says that the ledger still knows what it knew before.
	unbroken bool
	// suspended says that the holds lapsed before the history was read.
	suspended bool
	ready     bool
}

func newLoop(s *Scheduler) *loop {
	t := s.o.Timing
	l := &loop{
		s: s,
		own: ownership.New(ownership.Settings{
			Self:         s.member(),
			DataCentre:   s.o.Self.DataCentre,
			Region:       s.o.Self.Region,
			BeatEvery:    t.BeatEvery,
			SuspectAfter: t.SuspectAfter,
			RefreshEvery: t.LogRetention / refreshesPerRetention,
		}),
		members:  membership.New(membership.Settings{}),
		led:      ledger.New(s.o.Self.ID),
		pl:       placement.New(s.o.Self.ID),
		cells:    make(map[model.CellID]*ownedCell),
		groups:   make(map[model.GroupID]*ownedGroup),
		attempts: make(map[model.Key]*attempt),
		waiters:  make(map[ledger.Waiter]chan wire.SubmitReply),
		byReply:  make(map[chan wire.SubmitReply]ledger.Waiter),
		jobs:     newOpenJobs(t.LogRetention),
		cancels:  make(map[ledger.Waiter]chan wire.CancelReply),
	}
	l.led.Watch(l.own)
	return l
}

func (l *loop) run(ctx context.Context) error {
	l.ctx = ctx
	t := time.NewTicker(l.s.o.Timing.Tick)
	defer t.Stop()
	defer l.stopCells()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			l.tick()
		case m := <-l.s.inbox:
			start := now()
			l.handle(m)
			mStep.UpdateDuration(start)
		}
	}
}

func (l *loop) tick() {
	l.stepOwn(ownership.Tick{})
	l.stepLedger(ledger.Tick{})
	l.stepPlace(placement.Tick{})
	l.refreshJobs()
	l.holdsChanged()
}

func (l *loop) handle(m message) {
	switch m := m.(type) {
	case ownMsg:
		l.stepOwn(m.ev)
		if _, ok := m.ev.(ownership.HoldAnswered); ok {
			l.holdsChanged()
		}
	case ledgerMsg:
		l.stepLedger(m.ev)
	case placeMsg:
		l.stepPlace(m.ev)
	case memberMsg:
		l.member(m)
	case configMsg:
		l.configure(m.conf)
	case submitMsg:
		l.submit(m)
	case goneMsg:
		l.gone(m)
	case recordedMsg:
		l.recorded(m)
	case cancelMsg:
		l.cancel(m)
	case statusMsg:
		l.status(m)
	case overviewMsg:
		m.reply <- l.overview()
	case placeReqMsg:
		l.placeFor(m)
	case withdrawMsg:
		l.withdrawFor(m)
	case begunMsg:
		l.begunElsewhere(m)
	case beginDoneMsg:
		l.beginDone(m)
	case placedMsg:
		l.placedElsewhere(m)
	case endedMsg:
		l.ended(m)
	case historyMsg:
		l.history(m)
	case drainMsg:
		l.stepOwn(ownership.Drain{})
		m.reply <- struct{}{}
	}
}

func (l *loop) stepOwn(ev ownership.Event) {
	l.doOwn(l.own.Step(now(), ev))
}

func (l *loop) stepLedger(ev ledger.Event) {
	for _, a := range l.led.Step(now(), ev) {
		l.doLedger(a)
	}
}

func (l *loop) stepPlace(ev placement.Event) {
	for _, a := range l.pl.Step(now(), ev) {
		l.doPlace(a)
	}
}

func (l *loop) stopCells() {
	for _, c := range l.cells {
		c.stop()
	}
}
