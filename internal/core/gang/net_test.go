package gang

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"coltsfootmux/internal/model"
	_ "coltsfootmux/internal/testseed"
)

var began = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// delivery is an event on its way to a coordinator or a participant.
type delivery struct {
	at    time.Time
	seq   int
	host  model.HostID
	cell  model.CellID
	event Event
}

type mail []delivery

func (m mail) Len() int { return len(m) }
func (m mail) Less(i, k int) bool {
	if !m[i].at.Equal(m[k].at) {
		return m[i].at.Before(m[k].at)
	}
	return m[i].seq < m[k].seq
}
func (m mail) Swap(i, k int) { m[i], m[k] = m[k], m[i] }
func (m *mail) Push(x any)   { *m = append(*m, x.(delivery)) }
func (m *mail) Pop() any {
	old := *m
	d := old[len(old)-1]
	*m = old[:len(old)-1]
	return d
}

// failer is what the world needs of a test.
type failer interface {
	Fatalf(format string, args ...any)
}

// world is a set of coordinators and cells on a network that delays, loses and
// doubles messages.
type world struct {
	t      failer
	rng    *rand.Rand
	now    time.Time
	seq    int
	mail   mail
	hosts  map[model.HostID]*Coordinator
	dead   map[model.HostID]bool
	cells  map[model.CellID]*Participant
	room   map[model.CellID]int
	taken  map[model.CellID]map[ID]int
	runs   map[ID]map[model.CellID]int
	since  map[ID]time.Time
	want   map[model.Key]int
	formed map[model.Key]int
	over   map[model.Key]bool
	reason map[model.Key]model.Reason
	loss   float64
	slow   time.Duration
	// fail is the chance that a member fails at once.
	fail float64
}

func newWorld(t failer, seed uint64, hosts, cells, room int) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: began,
		hosts: make(map[model.HostID]*Coordinator), dead: make(map[model.HostID]bool),
		cells: make(map[model.CellID]*Participant), room: make(map[model.CellID]int),
		taken: make(map[model.CellID]map[ID]int), runs: make(map[ID]map[model.CellID]int),
		since: make(map[ID]time.Time), want: make(map[model.Key]int),
		formed: make(map[model.Key]int), over: make(map[model.Key]bool),
		reason: make(map[model.Key]model.Reason), slow: 20 * time.Millisecond,
	}
	for i := range hosts {
		id := model.HostID(fmt.Sprint("h", i))
		w.hosts[id] = NewCoordinator(id, StandardBounds())
		w.post(delivery{at: w.now, host: id, event: Tick{}})
	}
	for i := range cells {
		id := model.CellID(fmt.Sprint("c", i))
		w.cells[id] = NewParticipant(id, StandardBounds())
		w.room[id] = room
		w.taken[id] = make(map[ID]int)
		w.post(delivery{at: w.now, cell: id, event: Tick{}})
	}
	return w
}

func (w *world) post(d delivery) {
	w.seq++
	d.seq = w.seq
	heap.Push(&w.mail, d)
}

// send puts a message on the network.
func (w *world) send(d delivery) {
	if w.rng.Float64() < w.loss {
		return
	}
	for n := 1; n > 0; n-- {
		d.at = w.now.Add(time.Millisecond + time.Duration(w.rng.Int64N(int64(w.slow))))
		w.post(d)
		if w.rng.Float64() < w.loss/2 {
			n++
		}
	}
}

func (w *world) runUntil(end time.Time) {
	for len(w.mail) > 0 && w.mail[0].at.Before(end) {
		d := heap.Pop(&w.mail).(delivery)
		w.now = d.at
		w.deliver(d)
		w.check()
	}
	w.now = end
}

const tick = 25 * time.Millisecond

func (w *world) deliver(d delivery) {
	if _, isTick := d.event.(Tick); isTick {
		d.event = Tick{Rand: w.rng.Uint64()}
		next := d
		next.at = w.now.Add(tick)
		w.post(next)
	}
	if r, ok := d.event.(Received); ok {
		r.Rand = w.rng.Uint64()
		d.event = r
	}
	if d.host != "" {
		if !w.dead[d.host] {
			w.carry("", w.hosts[d.host].Step(w.now, d.event))
		}
		return
	}
	w.carry(d.cell, w.cells[d.cell].Step(w.now, d.event))
}

func (w *world) carry(at model.CellID, as []Action) {
	for _, a := range as {
		switch x := a.(type) {
		case SendCell:
			w.send(delivery{cell: x.To, event: Received{From: at, Message: x.Message}})
		case SendOwner:
			w.send(delivery{host: x.To, event: Received{From: at, Message: x.Message}})
		case Formed:
			w.formed[x.ID.Key]++
		case Abandoned:
			w.over[x.ID.Key] = true
			w.reason[x.ID.Key] = x.Reason
		case Finished:
			w.over[x.ID.Key] = true
		case Take:
			w.take(at, x)
		case Begin:
			w.begin(at, x.ID)
		case Drop:
			delete(w.taken[at], x.ID)
			w.unrun(x.ID, at)
		}
	}
}

func (w *world) take(at model.CellID, x Take) {
	used := 0
	for _, n := range w.taken[at] {
		used += n
	}
	ok := used+x.Members <= w.room[at]
	if ok {
		w.taken[at][x.ID] = x.Members
	}
	w.post(delivery{at: w.now.Add(2 * time.Millisecond), cell: at, event: Taken{ID: x.ID, OK: ok}})
}

func (w *world) begin(at model.CellID, id ID) {
	n, held := w.taken[at][id]
	ok := held && w.rng.Float64() >= w.fail
	if ok {
		if w.runs[id] == nil {
			w.runs[id] = make(map[model.CellID]int)
		}
		w.runs[id][at] = n
	}
	w.post(delivery{at: w.now.Add(2 * time.Millisecond), cell: at, event: Began{ID: id, OK: ok}})
}

func (w *world) unrun(id ID, at model.CellID) {
	delete(w.runs[id], at)
	if len(w.runs[id]) == 0 {
		delete(w.runs, id)
	}
}

func (w *world) running(id ID) int {
	n := 0
	for _, m := range w.runs[id] {
		n += m
	}
	return n
}

// check holds that no cell is overcommitted and that no part of a gang runs on
// for longer than the bound without the rest.
func (w *world) check() {
	for id, held := range w.taken {
		used := 0
		for _, n := range held {
			used += n
		}
		if used > w.room[id] {
			w.t.Fatalf("%s holds %d of %d", id, used, w.room[id])
		}
	}
	b := StandardBounds()
	for id := range w.since {
		if _, runs := w.runs[id]; !runs {
			delete(w.since, id)
		}
	}
	for id := range w.runs {
		if w.running(id) == w.want[id.Key] {
			delete(w.since, id)
			continue
		}
		if _, ok := w.since[id]; !ok {
			w.since[id] = w.now
		}
		if w.now.Sub(w.since[id]) > partialBound(b) {
			w.t.Fatalf("%d of %d members of %+v run since %v", w.running(id), w.want[id.Key], id, w.since[id])
		}
	}
}

// partialBound is how long a part of a gang may run: until its own bound is over
// or, if the word of a peer that stopped is lost, not for ever.
func partialBound(b Bounds) time.Duration { return b.ConfirmWithin + b.AnswerWithin }

func (w *world) form(host model.HostID, key string, members int, cells []model.CellID, until time.Duration) {
	f := Form{Key: model.Key(key), Epoch: 16, Shape: model.Shape{Slots: 1}, Idempotent: true, Until: w.now.Add(until)}
	for _, c := range cells {
		f.Parts = append(f.Parts, Part{Cell: c, Members: members})
	}
	w.want[f.Key] = members * len(cells)
	w.post(delivery{at: w.now, host: host, event: f})
}

func (w *world) cellIDs() []model.CellID {
	ids := make([]model.CellID, 0, len(w.cells))
	for id := range w.cells {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func TestGangsThatRaceForTheSameCellsAllForm(t *testing.T) {
	// Room for one gang at a time: each must give way and come again.
	w := newWorld(t, 1, 8, 4, 8)
	for i := range 8 {
		cells := w.cellIDs()
		w.rng.Shuffle(len(cells), func(a, b int) { cells[a], cells[b] = cells[b], cells[a] })
		w.form(model.HostID(fmt.Sprint("h", i)), fmt.Sprint("g", i), 8, cells, time.Minute)
	}
	for range 60 {
		w.runUntil(w.now.Add(time.Second))
		for id := range w.runs {
			if w.formed[id.Key] == 0 {
				continue
			}
			for c := range w.runs[id] {
				for range w.runs[id][c] {
					w.post(delivery{at: w.now, cell: c, event: MemberEnded{ID: id}})
				}
				delete(w.taken[c], id)
			}
			delete(w.runs, id)
		}
	}
	for i := range 8 {
		if k := model.Key(fmt.Sprint("g", i)); w.formed[k] != 1 || !w.over[k] {
			t.Errorf("%s formed %d times, over %v, %s", k, w.formed[k], w.over[k], w.reason[k])
		}
	}
}

func TestAGangOf512FormsOverManyCells(t *testing.T) {
	w := newWorld(t, 2, 1, 64, 8)
	w.form("h0", "big", 8, w.cellIDs(), time.Minute)
	w.runUntil(w.now.Add(10 * time.Second))
	if w.formed["big"] != 1 {
		t.Fatalf("not formed: %v", w.reason["big"])
	}
}

func TestADeadCoordinatorLeavesNoPartBehind(t *testing.T) {
	for after := time.Duration(0); after < 200*time.Millisecond; after += 7 * time.Millisecond {
		w := newWorld(t, uint64(after), 1, 4, 8)
		w.form("h0", "g", 8, w.cellIDs(), time.Minute)
		w.runUntil(w.now.Add(after))
		w.dead["h0"] = true
		w.runUntil(w.now.Add(20 * time.Second))
		whole := 0
		for id := range w.runs {
			whole += w.running(id)
		}
		if whole != 0 && whole != 32 {
			t.Fatalf("died after %v: %d of 32 members run", after, whole)
		}
	}
}

func TestAMemberThatFailsStopsTheGangWithoutItsCoordinator(t *testing.T) {
	w := newWorld(t, 3, 1, 4, 8)
	w.form("h0", "g", 8, w.cellIDs(), time.Minute)
	w.runUntil(w.now.Add(5 * time.Second))
	if w.formed["g"] != 1 {
		t.Fatal("not formed")
	}
	w.dead["h0"] = true
	for id := range w.runs {
		w.post(delivery{at: w.now, cell: "c2", event: MemberEnded{ID: id, Failed: true}})
	}
	w.runUntil(w.now.Add(time.Second))
	if len(w.runs) != 0 {
		t.Fatalf("still running: %+v", w.runs)
	}
}

func TestTheWordOfAFailedMemberIsToldAgainWhenItIsLost(t *testing.T) {
	w := newWorld(t, 4, 1, 4, 8)
	w.form("h0", "g", 8, w.cellIDs(), time.Minute)
	w.runUntil(w.now.Add(5 * time.Second))
	w.dead["h0"] = true
	w.loss = 1
	for id := range w.runs {
		w.post(delivery{at: w.now, cell: "c2", event: MemberEnded{ID: id, Failed: true}})
	}
	w.runUntil(w.now.Add(100 * time.Millisecond))
	w.loss = 0
	w.runUntil(w.now.Add(2 * time.Second))
	if len(w.runs) != 0 {
		t.Fatalf("still running: %+v", w.runs)
	}
}

func TestGangsOnABadNetwork(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, rapid.Uint64().Draw(rt, "seed"), 3, 4, 8)
		w.loss = 0.01 * float64(rapid.IntRange(0, 10).Draw(rt, "loss"))
		w.slow = time.Duration(rapid.IntRange(2, 800).Draw(rt, "slow")) * time.Millisecond
		w.fail = 0.1 * float64(rapid.IntRange(0, 2).Draw(rt, "fail"))
		for i := range rapid.IntRange(1, 5).Draw(rt, "gangs") {
			cells := w.cellIDs()[:rapid.IntRange(1, 4).Draw(rt, "cells")]
			w.form(model.HostID(fmt.Sprint("h", i%3)), fmt.Sprint("g", i),
				rapid.IntRange(1, 8).Draw(rt, "members"), cells, 20*time.Second)
		}
		w.runUntil(w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond))
		w.dead["h0"] = rapid.Bool().Draw(rt, "dies")
		w.runUntil(w.now.Add(25 * time.Second))
		for k := range w.want {
			if w.formed[k] == 0 && !w.over[k] && !w.dead[w.ownerOf(k)] {
				rt.Fatalf("%s is neither formed nor given up", k)
			}
		}
	})
}

func (w *world) ownerOf(k model.Key) model.HostID {
	var n int
	_, _ = fmt.Sscanf(string(k), "g%d", &n)
	return model.HostID(fmt.Sprint("h", n%3))
}
