package modelcheck

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/wire"
)

// The times of a replay: a tick lies between one hold and the next, and waits
// end with the third.
const (
	replayTick   = 1200 * time.Millisecond
	replayStep   = time.Millisecond
	replayHold   = time.Second
	replayAnswer = 200 * time.Millisecond
)

// replay drives the real cores of each host with the events that the
// specification's actions stand for, and compares what both decide.
type replay struct {
	t    *testing.T
	spec KeySpec
	s    KeyState
	// raw gives, for each worker of the specification's state, the real one.
	raw  [workers]uint8
	now  time.Time
	born [workers]time.Time
	key  model.Key
	own  [hosts]*ownership.Core
	led  [hosts]*ledger.Core
	// asked holds what each core has asked for, as call, epoch and worker.
	asked [hosts]map[string]bool
	// attempt is the number of each ledger's latest attempt.
	attempt [hosts]int
	// scans are the hosts that asked for a listing or hold in this step.
	scans []int
	// before holds the hosts' stages before this step.
	before [hosts]stage
	told   KeyStatus
	done   []string
}

// need fails unless the host's core has asked for a call.
func (r *replay) need(h int, call string, e uint8, w model.WorkerID) {
	r.t.Helper()
	if !r.asked[h][call+fmt.Sprint(at(e))+string(w)] {
		r.t.Fatalf("h%d never asked %s for %s under e%d\n%v", h, w, call, e, r.done)
	}
}

// noteAsk notes a call that a core asks for.
func (r *replay) noteAsk(h int, call string, e model.Epoch, w model.WorkerID) {
	r.asked[h][call+fmt.Sprint(e)+string(w)] = true
}

func at(e uint8) model.Epoch {
	if e == lastEp {
		return model.EpochOf(2, 0)
	}
	return model.EpochOf(1, int(e)-1)
}

func member(h int) model.Member {
	return model.Member{Host: model.HostID(fmt.Sprintf("h%d", h)), Boot: "1"}
}

func realWorkers() (ws []model.Worker, ids []model.WorkerID) {
	for i := range workers {
		ws = append(ws, model.Worker{ID: model.WorkerID(fmt.Sprintf("w%d", i))})
		ids = append(ids, ws[i].ID)
	}
	return ws, ids
}

func newReplay(t *testing.T, spec KeySpec) *replay {
	r := &replay{t: t, spec: spec, now: time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)}
	for i := range r.born {
		r.raw[i], r.born[i] = uint8(i), r.now.Add(-time.Hour)
	}
	r.s = spec.Initial()
	for h := range hosts {
		r.start(h)
	}
	for w := range uint8(workers) {
		r.fence(0, w)
	}
	r.pass(3*replayTick, 0)
	for w := range uint8(workers) {
		r.list(0, w)
		r.hold(0, w)
	}
	r.compare("first state")
	return r
}

func (r *replay) start(h int) {
	r.asked[h] = make(map[string]bool)
	r.own[h] = ownership.New(ownership.Settings{
		Self:           member(h),
		SuspectAfter:   time.Nanosecond,
		HoldTTL:        replayHold,
		AnswerWithin:   replayAnswer,
		ClockRateBound: 1e-7,
	})
	ws, ids := realWorkers()
	target := ownership.Target{Scope: model.GroupScope(0), Workers: ws, Witnesses: ids}
	r.step(h, ownership.Configured{Targets: []ownership.Target{target}})
	r.led[h] = ledger.New(member(h).Host)
	r.led[h].Watch(r.own[h])
	r.led[h].Step(r.now, ledger.Configured{Config: &config.Versioned{Document: config.Document{
		Fleet: config.Fleet{
			KeyGroups: 1, CellsPerGroup: 1, Witnesses: workers,
			Cells: []model.Cell{{ID: "c", Workers: ws}},
		},
		Defaults: config.Defaults{MaxAttempts: 1, KeyRetention: config.Duration(24 * time.Hour)},
	}}})
	line := []model.Member{member(0), member(1)}
	r.step(h, ownership.ClaimRead{Offset: 1, Claim: model.Claim{Scope: model.GroupScope(0), Line: line}})
}

// step takes an event into a host's ownership core and its actions to its ledger.
func (r *replay) step(h int, ev ownership.Event) {
	for _, a := range r.own[h].Step(r.now, ev) {
		switch a := a.(type) {
		case ownership.Fence:
			r.noteAsk(h, "fence", a.Epoch, a.Worker.ID)
		case ownership.List:
			r.noteAsk(h, "list", a.Epoch, a.Worker.ID)
			r.scans = append(r.scans, h)
		case ownership.Hold:
			r.noteAsk(h, "hold", a.Epoch, a.Worker.ID)
			r.scans = append(r.scans, h)
		case ownership.Gain:
			g := ledger.GroupGained{Epoch: a.Epoch, Gap: a.Gap, Unbroken: a.Unbroken}
			for _, f := range a.Found {
				g.Found = append(g.Found, found(f)...)
			}
			r.ledger(h, g)
		case ownership.Joined:
			r.ledger(h, ledger.WorkerJoined{Found: found(a.Found), Gap: a.Gap})
		case ownership.Suspend:
			r.ledger(h, ledger.HoldsLapsed{})
		case ownership.Lose:
			r.ledger(h, ledger.GroupLost{})
		}
	}
}

func found(s ownership.Scanned) (out []ledger.Found) {
	for _, l := range s.Listing.Leases {
		out = append(out, ledger.Found{Worker: s.Worker.ID, Lease: l.Lease, Label: l.Label, Started: l.Started})
	}
	return out
}

// ledger takes an event into a host's ledger. The caller listens to the host of
// its latest offer; its waiter there is the host's number plus 1.
func (r *replay) ledger(h int, ev ledger.Event) {
	for _, a := range r.led[h].Step(r.now, ev) {
		if d, ok := a.(ledger.Dispatch); ok {
			r.attempt[h] = d.Attempt
		}
		if q, ok := a.(ledger.Ask); ok {
			r.attempt[h] = q.Attempt
			r.noteAsk(h, "ask", at(1), q.Trace.Worker)
		}
		rep, ok := a.(ledger.Reply)
		if !ok || r.told.final() || r.s.target != uint8(h)+1 {
			continue
		}
		r.told = fateOf(rep.Result.Outcome)
	}
}

func fateOf(o model.Outcome) KeyStatus {
	switch o {
	case model.OutcomeDone:
		return Done
	case model.OutcomeNotRun:
		return NotRun
	}
	return OutcomeUnknown
}

// pass lets time go by for the hosts that are not paused.
func (r *replay) pass(d time.Duration, paused uint8) {
	r.now = r.now.Add(d)
	for h := range hosts {
		if r.s.host[h].stage != dead && paused&bit(uint8(h)) == 0 {
			r.tick(h)
		}
	}
}

// tick keeps a successor from suspecting, unless it already acts.
func (r *replay) tick(h int) {
	if !r.s.host[h].inTerm() {
		r.step(h, ownership.BeatReceived{From: member(0).Host, Claims: []model.Offset{1, 2}})
	}
	r.step(h, ownership.Tick{})
	r.ledger(h, ledger.Tick{})
}

func (r *replay) incarnation(w uint8) string { return fmt.Sprint(r.born[w].UnixNano()) }

func (r *replay) fence(h int, i uint8) {
	w, id := r.s.worker[i], r.workerID(i)
	ev := ownership.FenceAnswered{Scope: model.GroupScope(0), Epoch: at(r.s.host[h].epoch), Worker: id}
	ev.Fenced = platform.Fenced{
		Incarnation: r.incarnation(r.raw[i]),
		Since:       r.now.Sub(r.born[r.raw[i]]),
	}
	if w.epoch > 0 {
		ev.Fenced.Previous = at(w.epoch)
	}
	if w.epoch > r.s.host[h].epoch {
		ev.Err = platform.ErrStaleEpoch
	}
	r.need(h, "fence", r.s.host[h].epoch, id)
	r.step(h, ev)
}

func (r *replay) workerID(i uint8) model.WorkerID {
	return model.WorkerID(fmt.Sprintf("w%d", r.raw[i]))
}

func lease(e uint8) model.LeaseID { return model.LeaseID(fmt.Sprintf("l%d", e)) }

func (r *replay) label(k model.Key) platform.Label {
	return platform.Label{Key: k, Account: "a", Members: 1, Attempt: 1}
}

func (r *replay) list(h int, i uint8) {
	r.need(h, "list", r.s.host[h].epoch, r.workerID(i))
	l := platform.Listing{Incarnation: r.incarnation(r.raw[i]), EndedSince: time.Hour}
	for e := uint8(1); e <= lastEp; e++ {
		if r.s.worker[i].ran&bit(e) != 0 {
			l.Leases = append(l.Leases, platform.Leased{Lease: lease(e), Label: r.label(r.key), Started: true})
		}
	}
	r.step(h, ownership.ListAnswered{
		Scope: model.GroupScope(0), Epoch: at(r.s.host[h].epoch), Worker: r.workerID(i), Listing: l,
	})
}

func (r *replay) hold(h int, i uint8) {
	w, e := r.s.worker[i], r.s.host[h].epoch
	r.need(h, "hold", e, r.workerID(i))
	held := platform.Held{Incarnation: r.incarnation(r.raw[i]), Highest: at(max(w.epoch, e)), Echo: 1}
	held.Refused = w.epoch > e
	r.step(h, ownership.HoldAnswered{
		Scope: model.GroupScope(0), Epoch: at(e), Worker: r.workerID(i), Sent: r.now, Held: held,
	})
}

// compare holds the cores against the specification.
func (r *replay) compare(after string) {
	r.t.Helper()
	for _, h := range r.scans {
		if r.s.host[h].stage < scanning && r.before[h] < scanning {
			r.t.Fatalf("after %s: h%d asked for a listing or hold before old holds lapsed\n%v", after, h, r.done)
		}
	}
	r.scans = nil
	for h := range hosts {
		hs := &r.s.host[h]
		if hs.stage == dead {
			continue
		}
		e, ok := r.own[h].Owned(model.GroupScope(0))
		if ok != (hs.stage == owned) || (ok && e != at(hs.epoch)) {
			r.t.Fatalf("after %s: h%d owned %v %d, specification %d e%d\n%v", after, h, ok, e, hs.stage, hs.epoch, r.done)
		}
		if _, may := r.own[h].MayStart(r.now, 0); may != hs.mayStart() {
			r.t.Fatalf("after %s: h%d may start %v, specification %v\n%v", after, h, may, hs.mayStart(), r.done)
		}
		if got := r.fate(h); got != hs.fate && !(got == Resolving && hs.fate == StartSent) {
			r.t.Fatalf("after %s: h%d has fate %d, specification %d\n%v", after, h, got, hs.fate, r.done)
		}
	}
	if r.told != r.s.told {
		r.t.Fatalf("after %s: told %d, specification %d\n%v", after, r.told, r.s.told, r.done)
	}
}

func (r *replay) fate(h int) KeyStatus {
	st, ok := r.led[h].Status(r.key)
	switch {
	case !ok:
		return NotReceived
	case st.State == wire.StateWaiting && r.s.host[h].fate == NotRunPending:
		return NotRunPending
	case st.State == wire.StateWaiting:
		return Queued
	case st.State == wire.StateRunning:
		return Resolving
	}
	return fateOf(st.Result.Outcome)
}

func keyAt(at time.Time) model.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	id[6], id[8] = 0x70, 0x80
	return model.Key(id.String())
}
