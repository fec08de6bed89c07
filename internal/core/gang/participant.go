package gang

import (
	"slices"
	"time"

	"coltsfootmux/internal/model"
)

// barFor is for how many hold times a participant remembers that a try is over.
const barFor = 20

// Participant answers for the gang members in one cell.
type Participant struct {
	cell   model.CellID
	bounds Bounds
	now    time.Time
	out    []Action
	shares map[model.Key]*share
	order  []*share
	barred map[model.Key]bar
	bars   []model.Key
	// notices are words of a broken gang that are told again, as they may be lost.
	notices []notice
}

// notice tells a gang's coordinator and cells that it is broken.
type notice struct {
	id    ID
	peers []model.CellID
	due   time.Time
	left  int
}

// noticeTimes is how often a broken gang is told of.
const noticeTimes = 6

// bar says that no try up to id may begin.
type bar struct {
	id    ID
	until time.Time
}

type shareState uint8

const (
	shareTaking shareState = iota
	shareHeld
	shareBeginning
	shareRunning
)

// share is a gang's part in the cell.
type share struct {
	id      ID
	state   shareState
	members int
	left    int
	peers   []model.CellID
	// due is when the hold lapses, or the members have run too long unconfirmed.
	due       time.Time
	confirmed bool
}

// NewParticipant gives a participant that holds nothing.
func NewParticipant(cell model.CellID, b Bounds) *Participant {
	return &Participant{
		cell: cell, bounds: b,
		shares: make(map[model.Key]*share), barred: make(map[model.Key]bar),
	}
}

// Step takes the time and one event and gives the actions to carry out, in order.
func (p *Participant) Step(now time.Time, ev Event) []Action {
	p.now = now
	p.out = nil
	p.lapse()
	switch e := ev.(type) {
	case Received:
		p.received(e.Message)
	case Taken:
		p.taken(e)
	case Began:
		p.began(e)
	case MemberEnded:
		p.memberEnded(e)
	}
	return p.out
}

func (p *Participant) emit(a Action) { p.out = append(p.out, a) }

func (p *Participant) tell(id ID, m Message) { p.emit(SendOwner{To: id.Owner, Message: m}) }

func (p *Participant) received(m Message) {
	switch x := m.(type) {
	case Reserve:
		p.reserve(x)
	case Start:
		p.start(x)
	case Confirm:
		p.confirm(x)
	case Release:
		p.release(x.ID)
	case Broken:
		p.release(x.ID)
	}
}

func (p *Participant) reserve(x Reserve) {
	if b, ok := p.barred[x.ID.Key]; ok && !x.ID.newer(b.id) {
		p.tell(x.ID, Denied{ID: x.ID})
		return
	}
	if s, ok := p.shares[x.ID.Key]; ok {
		if s.id == x.ID && s.state == shareHeld {
			p.tell(x.ID, Reserved{ID: x.ID})
			return
		}
		if !x.ID.newer(s.id) {
			return
		}
		p.drop(s)
	}
	s := &share{
		id: x.ID, members: x.Members, left: x.Members, due: p.now.Add(p.bounds.HoldFor),
	}
	p.shares[x.ID.Key] = s
	p.order = append(p.order, s)
	p.emit(Take(x))
}

func (p *Participant) taken(e Taken) {
	s, ok := p.current(e.ID)
	switch {
	case !ok:
		if e.OK {
			p.emit(Drop{ID: e.ID})
		}
	case s.state != shareTaking:
	case e.OK:
		s.state = shareHeld
		p.tell(s.id, Reserved{ID: s.id})
	default:
		p.forget(s)
		p.tell(s.id, Denied{ID: s.id})
	}
}

// start begins the members, if their hold has not lapsed.
func (p *Participant) start(x Start) {
	s, ok := p.current(x.ID)
	if !ok {
		p.tell(x.ID, Denied{ID: x.ID})
		return
	}
	switch s.state {
	case shareHeld:
		s.state = shareBeginning
		s.peers = x.Peers
		s.due = p.now.Add(p.bounds.ConfirmWithin)
		p.emit(Begin{ID: s.id})
	case shareRunning:
		p.tell(s.id, Started{ID: s.id})
	}
}

func (p *Participant) began(e Began) {
	s, ok := p.current(e.ID)
	if !ok {
		if e.OK {
			p.emit(Drop{ID: e.ID})
		}
		return
	}
	if s.state != shareBeginning {
		return
	}
	if !e.OK {
		p.abandon(s)
		return
	}
	s.state = shareRunning
	p.tell(s.id, Started{ID: s.id})
}

func (p *Participant) confirm(x Confirm) {
	s, ok := p.current(x.ID)
	if !ok || s.state != shareRunning {
		p.tell(x.ID, Broken(x))
		return
	}
	s.confirmed = true
	p.tell(x.ID, Confirmed(x))
}

// memberEnded counts members that are done; one that failed stops the gang.
func (p *Participant) memberEnded(e MemberEnded) {
	s, ok := p.current(e.ID)
	if !ok {
		return
	}
	if e.Failed {
		p.abandon(s)
		return
	}
	s.left--
	if s.left == 0 {
		p.forget(s)
		p.bar(s.id)
		p.tell(s.id, Ended{ID: s.id})
	}
}

// abandon drops the cell's part and has the rest of the gang stopped, by the
// coordinator and, in case it is gone, by the peers.
func (p *Participant) abandon(s *share) {
	p.drop(s)
	p.notices = append(p.notices, notice{id: s.id, peers: s.peers, due: p.now, left: noticeTimes})
	p.giveNotice()
}

// giveNotice tells of broken gangs, several times at growing distances.
func (p *Participant) giveNotice() {
	for i := range p.notices {
		n := &p.notices[i]
		if p.now.Before(n.due) {
			continue
		}
		n.left--
		n.due = p.now.Add(p.bounds.AnswerWithin << (noticeTimes - n.left) / 4)
		p.tell(n.id, Broken{ID: n.id})
		for _, cell := range n.peers {
			if cell != p.cell {
				p.emit(SendCell{To: cell, Message: Broken{ID: n.id}})
			}
		}
	}
	p.notices = slices.DeleteFunc(p.notices, func(n notice) bool { return n.left == 0 })
}

// release gives up the cell's part of a try, and bars that try for good.
func (p *Participant) release(id ID) {
	s, ok := p.shares[id.Key]
	if ok && !s.id.newer(id) {
		p.drop(s)
	}
	p.bar(id)
}

func (p *Participant) drop(s *share) {
	p.forget(s)
	p.bar(s.id)
	p.emit(Drop{ID: s.id})
}

func (p *Participant) current(id ID) (*share, bool) {
	s, ok := p.shares[id.Key]
	if !ok || s.id != id {
		return nil, false
	}
	return s, true
}

func (p *Participant) forget(s *share) {
	delete(p.shares, s.id.Key)
	p.order = slices.DeleteFunc(p.order, func(o *share) bool { return o == s })
}

func (p *Participant) bar(id ID) {
	b, known := p.barred[id.Key]
	if known && b.id.newer(id) {
		return
	}
	if !known {
		p.bars = append(p.bars, id.Key)
	}
	p.barred[id.Key] = bar{id: id, until: p.now.Add(barFor * p.bounds.HoldFor)}
}

// lapse gives up holds that were not started in time and members whose gang was
// not confirmed in time, and forgets old bars.
func (p *Participant) lapse() {
	for _, s := range slices.Clone(p.order) {
		if s.confirmed || p.now.Before(s.due) {
			continue
		}
		if s.state == shareTaking || s.state == shareHeld {
			p.drop(s)
			continue
		}
		p.abandon(s)
	}
	p.giveNotice()
	p.bars = slices.DeleteFunc(p.bars, func(k model.Key) bool {
		if p.now.Before(p.barred[k].until) {
			return false
		}
		delete(p.barred, k)
		return true
	})
}

// Held gives how many members the cell holds room for or runs.
func (p *Participant) Held() int {
	n := 0
	for _, s := range p.order {
		n += s.members
	}
	return n
}
