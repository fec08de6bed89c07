package faultrun

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/model"
)

const (
	watchEvery = 250 * time.Millisecond
	// linkSilence is after how long an entry host gives a silent link up.
	linkSilence = 2 * time.Second
	retryAfter  = 100 * time.Millisecond
	// callerWait is how long a caller waits, and entryGrace how much longer its
	// entry host does.
	callerWait = 10 * time.Second
	entryGrace = 3 * time.Second
)

// entry is an entry host: it holds callers' requests and offers them to owners.
// Only the answer to the latest offer counts.
type entry struct {
	place
	sim *Sim
	// hints are where each group's owner was last, and under which epoch.
	hints map[model.GroupID]hint
	next  int
	// links numbers the connection to each host, by name; a redial counts it up.
	links map[string]int
}

type hint struct {
	host  string
	epoch model.Epoch
}

// request is one caller's request, as its entry host sees it.
type request struct {
	work        model.Work
	sum         uint64
	entry       *entry
	made        time.Time
	ended       time.Time
	result      *model.Result
	offer       *offer
	offers      int
	quiet       time.Time
	repeat      bool
	cancelled   bool
	cancelledAt time.Time
}

// offer is a request under way to one host.
type offer struct {
	r    *request
	host *host
	boot int
	// link numbers the connection that it was sent on.
	link int
}

// answer is a host's reply to an offer.
type answer struct {
	result model.Result
	moved  bool
	epoch  model.Epoch
	owner  string
}

func newEntry(s *Sim, r model.Region) *entry {
	return &entry{
		place: place{"entry-" + string(r), r},
		sim:   s,
		hints: make(map[model.GroupID]hint),
		links: make(map[string]int),
	}
}

// newKey makes a UUIDv7 of the present time.
func (s *Sim) newKey() model.Key {
	s.keys++
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(s.now.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], uint64(s.keys))
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return model.Key(id.String())
}

// submit takes a caller's request in at an entry host.
func (e *entry) submit(w model.Work, repeat bool) *request {
	s := e.sim
	w.Deadline, w.Submitted, w.Members = s.now.Add(callerWait), s.now, 1
	r := &request{work: w, sum: 1, entry: e, made: s.now, repeat: repeat}
	s.requests = append(s.requests, r)
	e.offer(r)
	e.watch(r)
	return r
}

func (e *entry) offer(r *request) {
	s := e.sim
	if r.result != nil {
		return
	}
	g := s.routes.Group(r.work.Key)
	h, epoch := e.choose(g)
	if h == nil {
		s.after(retryAfter, func() { e.offer(r) })
		return
	}
	r.offers++
	o := &offer{r: r, host: h, boot: h.boot, link: e.links[h.name]}
	r.offer, r.quiet = o, time.Time{}
	work, sum := r.work, r.sum
	s.send("submit", e.place, h.place, func() {
		h.post(o.boot, func() { h.submitted(o, work, sum, epoch) })
	})
}

// choose gives the host to offer to: the last known owner, or the next in turn.
func (e *entry) choose(g model.GroupID) (*host, model.Epoch) {
	s := e.sim
	if x, ok := e.hints[g]; ok {
		if h := s.host(x.host); h != nil && !e.down(h) {
			return h, x.epoch
		}
		delete(e.hints, g)
	}
	for range s.hosts {
		e.next++
		if h := s.hosts[e.next%len(s.hosts)]; !e.down(h) {
			return h, 0
		}
	}
	return nil, 0
}

// down says that the link to a host carries nothing.
func (e *entry) down(h *host) bool {
	return h.dead || e.sim.now.Before(h.paused) || !e.sim.reachable(e.place, h.place)
}

func (h *host) submitted(o *offer, w model.Work, sum uint64, epoch model.Epoch) {
	h.waiter++
	h.waiters[h.waiter] = o
	h.stepLed(ledger.Submitted{Work: w, Sum: sum, Waiter: h.waiter, Epoch: epoch})
}

// reply answers an offer.
func (h *host) reply(w ledger.Waiter, a answer) {
	o := h.waiters[w]
	if o == nil {
		return
	}
	delete(h.waiters, w)
	g := h.sim.routes.Group(o.r.work.Key)
	if owner, ok := h.own.Owner(model.GroupScope(g)); ok {
		a.owner = string(owner.Host)
	}
	a.epoch, _ = h.own.Owned(model.GroupScope(g))
	e := o.r.entry
	h.sim.send("reply", h.place, e.place, func() { e.answered(o, a) })
}

func (e *entry) answered(o *offer, a answer) {
	r := o.r
	if r.offer != o || r.result != nil {
		return
	}
	g := e.sim.routes.Group(r.work.Key)
	if !a.moved {
		e.hints[g] = hint{o.host.name, a.epoch}
		e.end(r, a.result)
		return
	}
	switch {
	case a.owner == o.host.name:
		e.hints[g] = hint{a.owner, a.epoch}
	case a.owner != "":
		e.hints[g] = hint{host: a.owner}
	}
	e.sim.after(retryAfter, func() {
		if r.offer == o {
			e.offer(r)
		}
	})
}

func (e *entry) end(r *request, res model.Result) {
	r.result, r.ended = &res, e.sim.now
}

// watch gives silent links up, and the request when its time is over.
func (e *entry) watch(r *request) {
	e.sim.after(watchEvery, func() {
		if r.result != nil {
			return
		}
		now := e.sim.now
		if now.Sub(r.made) > callerWait+entryGrace {
			e.end(r, model.Result{Key: r.work.Key, Outcome: model.OutcomeUnknown, Reason: model.ReasonNoOwner})
			return
		}
		if r.offer != nil && (e.down(r.offer.host) || r.offer.boot != r.offer.host.boot) {
			if r.quiet.IsZero() {
				r.quiet = now
			}
			if now.Sub(r.quiet) >= linkSilence || r.offer.boot != r.offer.host.boot {
				e.links[r.offer.host.name]++
				e.sim.redial(e.place, r.offer.host.place)
				e.offer(r)
			}
		} else if r.offer != nil && r.offer.link != e.links[r.offer.host.name] {
			e.offer(r)
		} else {
			r.quiet = time.Time{}
			e.reoffer(r)
		}
		e.watch(r)
	})
}

// reoffer sends an offer again whose message or reply may have been lost.
func (e *entry) reoffer(r *request) {
	if r.offer != nil && e.sim.net.faults.Lost > 0 && e.sim.now.Sub(r.made) > time.Duration(r.offers)*linkSilence {
		e.offer(r)
	}
}
