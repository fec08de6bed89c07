package gang

import (
	"cmp"
	"slices"
	"time"

	"coltsfootmux/internal/model"
)

// Coordinator forms the gangs whose keys one scheduler owns.
type Coordinator struct {
	self   model.HostID
	bounds Bounds
	now    time.Time
	rand   uint64
	out    []Action
	gangs  map[model.Key]*forming
	order  []*forming
}

// NewCoordinator gives a coordinator without gangs.
func NewCoordinator(self model.HostID, b Bounds) *Coordinator {
	return &Coordinator{self: self, bounds: b, gangs: make(map[model.Key]*forming)}
}

// Step takes the time and one event and gives the actions to carry out, in order.
func (c *Coordinator) Step(now time.Time, ev Event) []Action {
	c.now = now
	c.out = nil
	switch e := ev.(type) {
	case Form:
		c.form(e)
	case Received:
		c.rand = e.Rand
		c.received(e)
	case Withdraw:
		if f, ok := c.gangs[e.Key]; ok {
			c.giveUp(f, model.ReasonCancelled)
		}
	case Tick:
		c.rand = e.Rand
		c.tick()
	}
	return c.out
}

func (c *Coordinator) emit(a Action) { c.out = append(c.out, a) }

func (c *Coordinator) send(to model.CellID, m Message) { c.emit(SendCell{To: to, Message: m}) }

// form begins to form a gang; one that is known already goes on as it is.
func (c *Coordinator) form(e Form) {
	if _, known := c.gangs[e.Key]; known {
		return
	}
	f := &forming{
		id:         ID{Key: e.Key, Owner: c.self, Epoch: e.Epoch},
		shape:      e.Shape,
		until:      e.Until,
		idempotent: e.Idempotent,
	}
	for _, p := range e.Parts {
		f.parts = append(f.parts, &part{cell: p.Cell, members: p.Members})
	}
	slices.SortFunc(f.parts, func(a, b *part) int { return cmp.Compare(a.cell, b.cell) })
	c.gangs[e.Key] = f
	c.order = append(c.order, f)
	c.try(f)
}

// try begins a new round with the first cell.
func (c *Coordinator) try(f *forming) {
	f.id.Round++
	f.phase = phaseReserve
	f.at = 0
	for _, p := range f.parts {
		p.state = partIdle
	}
	c.reserveNext(f)
}

func (c *Coordinator) reserveNext(f *forming) {
	p := f.parts[f.at]
	p.sent = c.now
	f.due = c.now.Add(c.bounds.AnswerWithin)
	c.send(p.cell, Reserve{ID: f.id, Members: p.members, Shape: f.shape})
}

func (c *Coordinator) received(e Received) {
	id := idOf(e.Message)
	f, ok := c.gangs[id.Key]
	if !ok || id != f.id {
		c.stale(e.From, e.Message, id)
		return
	}
	p := f.part(e.From)
	if p == nil {
		return
	}
	switch e.Message.(type) {
	case Reserved:
		c.reserved(f, p)
	case Denied:
		c.failTry(f)
	case Started:
		c.started(f, p)
	case Confirmed:
		p.confirmed = true
	case Broken:
		c.broken(f)
	case Ended:
		c.ended(f, p)
	}
}

// stale has a cell give up what it holds for a try that is over.
func (c *Coordinator) stale(from model.CellID, m Message, id ID) {
	switch m.(type) {
	case Reserved, Started:
		c.send(from, Release{ID: id})
	}
}

func (c *Coordinator) reserved(f *forming, p *part) {
	if f.phase != phaseReserve || f.parts[f.at] != p {
		return
	}
	p.state = partReserved
	f.at++
	if f.at < len(f.parts) {
		c.reserveNext(f)
		return
	}
	c.startAll(f)
}

// startAll starts every part, if each hold is sure to last until the start
// arrives. A hold began no earlier than its request was sent.
func (c *Coordinator) startAll(f *forming) {
	peers := make([]model.CellID, len(f.parts))
	for i, p := range f.parts {
		peers[i] = p.cell
		if c.now.After(p.sent.Add(c.bounds.HoldFor - c.bounds.StartMargin)) {
			c.failTry(f)
			return
		}
	}
	f.phase = phaseStart
	f.ran = true
	f.due = c.now.Add(c.bounds.AnswerWithin)
	for _, p := range f.parts {
		c.send(p.cell, Start{ID: f.id, Peers: peers})
	}
}

func (c *Coordinator) started(f *forming, p *part) {
	if f.phase != phaseStart {
		return
	}
	p.state = partStarted
	for _, o := range f.parts {
		if o.state != partStarted {
			return
		}
	}
	f.phase = phaseFormed
	c.emit(Formed{ID: f.id})
	c.confirm(f)
}

func (c *Coordinator) confirm(f *forming) {
	f.due = c.now.Add(c.bounds.AnswerWithin)
	for _, p := range f.parts {
		if !p.confirmed {
			c.send(p.cell, Confirm{ID: f.id})
		}
	}
}

// failTry releases everything and tries again after a pause, unless members of
// a gang that is not idempotent may have run.
func (c *Coordinator) failTry(f *forming) {
	if f.phase == phaseFormed {
		c.broken(f)
		return
	}
	if f.phase == phasePause {
		return
	}
	if f.phase == phaseStart && !f.idempotent {
		c.giveUp(f, model.ReasonGangIncomplete)
		return
	}
	c.releaseAll(f)
	f.phase = phasePause
	f.tries++
	f.due = c.now.Add(c.pause(f.tries))
}

// pause doubles with each try and is spread at random, so that gangs that race
// for the same cells come apart.
func (c *Coordinator) pause(tries int) time.Duration {
	d := c.bounds.RetryLeast << min(tries, 16)
	d = min(d, c.bounds.RetryMost)
	return d/2 + time.Duration(c.rand%uint64(d))
}

func (c *Coordinator) releaseAll(f *forming) {
	for _, p := range f.parts {
		c.send(p.cell, Release{ID: f.id})
	}
}

func (c *Coordinator) giveUp(f *forming, why model.Reason) {
	c.releaseAll(f)
	if f.phase == phaseFormed {
		c.emit(Finished{ID: f.id, Failed: true})
	} else {
		c.emit(Abandoned{ID: f.id, Ran: f.ran, Reason: why})
	}
	c.forget(f)
}

// broken stops a gang of which some member failed.
func (c *Coordinator) broken(f *forming) {
	if f.phase != phaseFormed {
		c.failTry(f)
		return
	}
	c.giveUp(f, model.ReasonMemberFailed)
}

func (c *Coordinator) ended(f *forming, p *part) {
	p.state = partEnded
	for _, o := range f.parts {
		if o.state != partEnded {
			return
		}
	}
	c.emit(Finished{ID: f.id})
	c.forget(f)
}

func (c *Coordinator) forget(f *forming) {
	delete(c.gangs, f.id.Key)
	c.order = slices.DeleteFunc(c.order, func(o *forming) bool { return o == f })
}

func (c *Coordinator) tick() {
	for _, f := range slices.Clone(c.order) {
		if f.phase != phaseFormed && !c.now.Before(f.until) {
			c.giveUp(f, model.ReasonWaitBound)
			continue
		}
		if c.now.Before(f.due) {
			continue
		}
		switch f.phase {
		case phaseReserve, phaseStart:
			c.failTry(f)
		case phasePause:
			c.try(f)
		case phaseFormed:
			c.confirm(f)
		}
	}
}
