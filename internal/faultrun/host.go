package faultrun

import (
	"fmt"
	"time"

	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/model"
)

// callerSkew bounds the callers' clocks.
const callerSkew = 200 * time.Millisecond

// host is one scheduler: the real cores in a small shell.
type host struct {
	place
	sim       *Sim
	id        model.HostID
	boot      int
	firstBorn time.Time
	born      time.Time
	dead      bool
	died      time.Time
	leaving   bool
	paused    time.Time

	own  *ownership.Core
	led  *ledger.Core
	read int
	seen map[string]bool
	// gained holds what was found of each group until its ledger has heard of it.
	gained  map[model.GroupID]*gained
	waiting []*attempt
	sent    map[model.Key]*attempt
	// waiters are the offers that wait for a reply.
	waiters  map[ledger.Waiter]*offer
	cancels  map[ledger.Waiter]func(ledger.AnswerCancel)
	waiter   ledger.Waiter
	leases   int
	lastList time.Time
	// avoid holds until when a worker that did not answer is passed over.
	avoid map[model.WorkerID]time.Time
}

func (s *Sim) addHost(name string, r model.Region) *host {
	h := &host{sim: s, place: place{name, r}, id: model.HostID(name), firstBorn: s.now}
	s.hosts = append(s.hosts, h)
	h.start()
	return h
}

// start begins a new process of the host, with no memory.
func (h *host) start() {
	s := h.sim
	h.boot++
	h.dead, h.leaving, h.paused, h.born = false, false, time.Time{}, s.now
	h.own = ownership.New(ownership.Settings{
		Self:       model.Member{Host: h.id, Boot: fmt.Sprint(h.boot)},
		DataCentre: model.DataCentre(h.region),
		Region:     h.region,
	})
	h.led = ledger.New(h.id)
	h.led.Watch(h.own)
	h.read, h.seen, h.lastList = 0, make(map[string]bool), time.Time{}
	h.gained = make(map[model.GroupID]*gained)
	h.avoid = make(map[model.WorkerID]time.Time)
	h.waiting, h.sent = nil, make(map[model.Key]*attempt)
	h.waiters = make(map[ledger.Waiter]*offer)
	h.cancels = make(map[ledger.Waiter]func(ledger.AnswerCancel))
	h.stepOwn(ownership.Configured{Targets: s.targets})
	h.stepLed(ledger.Configured{Config: s.cfg})
	h.loop(h.boot)
}

// post runs something in the host's process: not when it is dead or another one
// has taken its place, and later when it is paused.
func (h *host) post(boot int, do func()) {
	if h.dead || h.boot != boot {
		return
	}
	if h.sim.now.Before(h.paused) {
		h.sim.queue.add(h.paused, func() { h.post(boot, do) })
		return
	}
	do()
}

func (h *host) loop(boot int) {
	h.post(boot, func() {
		h.readLog()
		if h.sim.now.Sub(h.lastList) >= listEvery {
			h.lastList = h.sim.now
			h.stepOwn(ownership.HostsSeen{Hosts: h.sim.hostList()})
		}
		h.stepOwn(ownership.Tick{})
		h.stepLed(ledger.Tick{})
		h.place1()
		h.sim.after(tickEvery, func() { h.loop(boot) })
	})
}

// readLog reads the claims up to the head. Readers drop ids that they have seen.
func (h *host) readLog() {
	if !h.sim.logUp(h.place) {
		return
	}
	claims := h.sim.log.claims
	for ; h.read < len(claims); h.read++ {
		c := claims[h.read]
		if h.seen[c.id] {
			continue
		}
		h.seen[c.id] = true
		h.stepOwn(ownership.ClaimRead{Offset: model.Offset(h.read + 1), Claim: c.claim, At: c.at})
	}
	h.stepOwn(ownership.CaughtUp{})
}

func (h *host) kill() {
	h.dead, h.died = true, h.sim.now
}

func (h *host) stepOwn(ev ownership.Event) {
	for _, a := range h.own.Step(h.sim.now, ev) {
		h.doOwn(a)
	}
}

func (h *host) stepLed(ev ledger.Event) {
	for _, a := range h.led.Step(h.sim.now, ev) {
		h.doLed(a)
	}
}

// peer sends to another host's process.
func (h *host) peer(kind string, to model.Member, do func(p *host)) {
	p := h.sim.host(string(to.Host))
	if p == nil {
		return
	}
	boot := p.boot
	h.sim.send(kind, h.place, p.place, func() { p.post(boot, func() { do(p) }) })
}

// drain hands everything over; the process ends a little later.
func (h *host) drain() {
	h.leaving = true
	h.stepOwn(ownership.Drain{})
}
