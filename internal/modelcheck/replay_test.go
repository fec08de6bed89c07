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

// The times of a replay. A tick is longer than one hold's time to live and shorter
// than two, and a wait of three ticks ends with the third.
const (
	replayTick          = 1200 * time.Millisecond
	replayStep          = time.Millisecond
	replayHoldTTL       = time.Second
	replayAnswerTimeout = 200 * time.Millisecond
)

// replay drives the real cores of each host with the events that correspond to the
// specification's actions, and compares the decisions of both.
type replay struct {
	t     *testing.T
	spec  KeySpec
	state KeyState
	// realWorker maps each worker of the specification's state to the real one, as
	// the specification sorts its workers after each action.
	realWorker  [workers]uint8
	now         time.Time
	workerStart [workers]time.Time
	key         model.Key
	ownerCores  [hosts]*ownership.Core
	ledgers     [hosts]*ledger.Core
	// requested holds the calls that each core has requested, as call, epoch and
	// worker.
	requested [hosts]map[string]bool
	// attempt is the number of each ledger's latest attempt.
	attempt [hosts]int
	// scanningHosts are the hosts that requested a listing or hold in this
	// transition.
	scanningHosts []int
	// previousStage holds the hosts' stages before this transition.
	previousStage [hosts]stage
	callerStatus  KeyStatus
	actions       []string
}

// requireRequest fails the test unless the host's core has requested a call.
func (r *replay) requireRequest(h int, call string, e uint8, w model.WorkerID) {
	r.t.Helper()
	if !r.requested[h][call+fmt.Sprint(epochOf(e))+string(w)] {
		r.t.Fatalf("h%d did not request from %s the call %s under e%d\n%v", h, w, call, e, r.actions)
	}
}

// noteRequest records a call that a core requests.
func (r *replay) noteRequest(h int, call string, e model.Epoch, w model.WorkerID) {
	r.requested[h][call+fmt.Sprint(e)+string(w)] = true
}

func epochOf(e uint8) model.Epoch {
	if e == lastEpoch {
		return model.EpochOf(2, 0)
	}
	return model.EpochOf(1, int(e)-1)
}

func member(h int) model.Member {
	return model.Member{Host: model.HostID(fmt.Sprintf("h%d", h)), Boot: "1"}
}

func modelWorkers() (ws []model.Worker, ids []model.WorkerID) {
	for i := range workers {
		ws = append(ws, model.Worker{ID: model.WorkerID(fmt.Sprintf("w%d", i))})
		ids = append(ids, ws[i].ID)
	}
	return ws, ids
}

func newReplay(t *testing.T, spec KeySpec) *replay {
	r := &replay{t: t, spec: spec, now: time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)}
	for i := range r.workerStart {
		r.realWorker[i], r.workerStart[i] = uint8(i), r.now.Add(-time.Hour)
	}
	r.state = spec.Initial()
	for h := range hosts {
		r.startCores(h)
	}
	for w := range uint8(workers) {
		r.fence(0, w)
	}
	r.passTime(3*replayTick, 0)
	for w := range uint8(workers) {
		r.list(0, w)
		r.hold(0, w)
	}
	r.compare("first state")
	return r
}

func (r *replay) startCores(h int) {
	r.requested[h] = make(map[string]bool)
	r.ownerCores[h] = ownership.New(ownership.Settings{
		Self:           member(h),
		SuspectAfter:   time.Nanosecond,
		HoldTTL:        replayHoldTTL,
		AnswerWithin:   replayAnswerTimeout,
		ClockRateBound: 1e-7,
	})
	ws, ids := modelWorkers()
	target := ownership.Target{Scope: model.GroupScope(0), Workers: ws, Witnesses: ids}
	r.step(h, ownership.Configured{Targets: []ownership.Target{target}})
	r.ledgers[h] = ledger.New(member(h).Host)
	r.ledgers[h].Watch(r.ownerCores[h])
	r.ledgers[h].Step(r.now, ledger.Configured{Config: &config.Versioned{Document: config.Document{
		Fleet: config.Fleet{
			KeyGroups: 1, CellsPerGroup: 1, Witnesses: workers,
			Cells: []model.Cell{{ID: "c", Workers: ws}},
		},
		Defaults: config.Defaults{MaxAttempts: 1, KeyRetention: config.Duration(24 * time.Hour)},
	}}})
	line := []model.Member{member(0), member(1)}
	r.step(h, ownership.ClaimRead{Offset: 1, Claim: model.Claim{Scope: model.GroupScope(0), Line: line}})
}

// step passes an event to a host's ownership core, and the core's actions to the
// host's ledger.
func (r *replay) step(h int, ev ownership.Event) {
	for _, a := range r.ownerCores[h].Step(r.now, ev) {
		switch a := a.(type) {
		case ownership.Fence:
			r.noteRequest(h, "fence", a.Epoch, a.Worker.ID)
		case ownership.List:
			r.noteRequest(h, "list", a.Epoch, a.Worker.ID)
			r.scanningHosts = append(r.scanningHosts, h)
		case ownership.Hold:
			r.noteRequest(h, "hold", a.Epoch, a.Worker.ID)
			r.scanningHosts = append(r.scanningHosts, h)
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

// ledger passes an event to a host's ledger. The caller listens only to the host of
// its latest submission; its waiter there is the host's number plus 1.
func (r *replay) ledger(h int, ev ledger.Event) {
	for _, a := range r.ledgers[h].Step(r.now, ev) {
		if d, ok := a.(ledger.Dispatch); ok {
			r.attempt[h] = d.Attempt
		}
		if q, ok := a.(ledger.Ask); ok {
			r.attempt[h] = q.Attempt
			r.noteRequest(h, "ask", epochOf(1), q.Trace.Worker)
		}
		rep, ok := a.(ledger.Reply)
		if !ok || r.callerStatus.final() || r.state.callerHost != uint8(h)+1 {
			continue
		}
		r.callerStatus = statusOf(rep.Result.Outcome)
	}
}

func statusOf(o model.Outcome) KeyStatus {
	switch o {
	case model.OutcomeDone:
		return Done
	case model.OutcomeNotRun:
		return NotRun
	}
	return OutcomeUnknown
}

// passTime advances time, and ticks the hosts that are not paused.
func (r *replay) passTime(d time.Duration, paused uint8) {
	r.now = r.now.Add(d)
	for h := range hosts {
		if r.state.host[h].stage != dead && paused&bit(uint8(h)) == 0 {
			r.tick(h)
		}
	}
}

// tick ticks a host's cores. A host without a term receives a heartbeat first, so
// that it does not suspect the owner.
func (r *replay) tick(h int) {
	if !r.state.host[h].hasTerm() {
		r.step(h, ownership.BeatReceived{From: member(0).Host, Claims: []model.Offset{1, 2}})
	}
	r.step(h, ownership.Tick{})
	r.ledger(h, ledger.Tick{})
}

func (r *replay) incarnation(w uint8) string { return fmt.Sprint(r.workerStart[w].UnixNano()) }

func (r *replay) fence(h int, i uint8) {
	w, id := r.state.worker[i], r.workerID(i)
	ev := ownership.FenceAnswered{Scope: model.GroupScope(0), Epoch: epochOf(r.state.host[h].epoch), Worker: id}
	ev.Fenced = platform.Fenced{
		Incarnation: r.incarnation(r.realWorker[i]),
		Since:       r.now.Sub(r.workerStart[r.realWorker[i]]),
	}
	if w.epoch > 0 {
		ev.Fenced.Previous = epochOf(w.epoch)
	}
	if w.epoch > r.state.host[h].epoch {
		ev.Err = platform.ErrStaleEpoch
	}
	r.requireRequest(h, "fence", r.state.host[h].epoch, id)
	r.step(h, ev)
}

func (r *replay) workerID(i uint8) model.WorkerID {
	return model.WorkerID(fmt.Sprintf("w%d", r.realWorker[i]))
}

func lease(e uint8) model.LeaseID { return model.LeaseID(fmt.Sprintf("l%d", e)) }

func (r *replay) label(k model.Key) platform.Label {
	return platform.Label{Key: k, Account: "a", Members: 1, Attempt: 1}
}

func (r *replay) list(h int, i uint8) {
	r.requireRequest(h, "list", r.state.host[h].epoch, r.workerID(i))
	l := platform.Listing{Incarnation: r.incarnation(r.realWorker[i]), EndedSince: time.Hour}
	for e := uint8(1); e <= lastEpoch; e++ {
		if r.state.worker[i].ranEpochs&bit(e) != 0 {
			l.Leases = append(l.Leases, platform.Leased{Lease: lease(e), Label: r.label(r.key), Started: true})
		}
	}
	r.step(h, ownership.ListAnswered{
		Scope: model.GroupScope(0), Epoch: epochOf(r.state.host[h].epoch), Worker: r.workerID(i), Listing: l,
	})
}

func (r *replay) hold(h int, i uint8) {
	w, e := r.state.worker[i], r.state.host[h].epoch
	r.requireRequest(h, "hold", e, r.workerID(i))
	held := platform.Held{Incarnation: r.incarnation(r.realWorker[i]), Highest: epochOf(max(w.epoch, e)), Echo: 1}
	held.Refused = w.epoch > e
	r.step(h, ownership.HoldAnswered{
		Scope: model.GroupScope(0), Epoch: epochOf(e), Worker: r.workerID(i), Sent: r.now, Held: held,
	})
}

// compare compares the cores' decisions with the specification's.
func (r *replay) compare(after string) {
	r.t.Helper()
	for _, h := range r.scanningHosts {
		if r.state.host[h].stage < scanning && r.previousStage[h] < scanning {
			r.t.Fatalf("after %s: h%d requested a listing or hold before old holds expired\n%v", after, h, r.actions)
		}
	}
	r.scanningHosts = nil
	for h := range hosts {
		hs := &r.state.host[h]
		if hs.stage == dead {
			continue
		}
		e, ok := r.ownerCores[h].Owned(model.GroupScope(0))
		if ok != (hs.stage == owned) || (ok && e != epochOf(hs.epoch)) {
			r.t.Fatalf("after %s: h%d: owned %v epoch %d, specification has stage %d e%d\n%v", after, h, ok, e, hs.stage, hs.epoch, r.actions)
		}
		if _, may := r.ownerCores[h].MayStart(r.now, 0); may != hs.mayStart() {
			r.t.Fatalf("after %s: h%d: may start %v, specification %v\n%v", after, h, may, hs.mayStart(), r.actions)
		}
		if got := r.status(h); got != hs.status && !(got == Resolving && hs.status == StartSent) {
			r.t.Fatalf("after %s: h%d: key status %d, specification %d\n%v", after, h, got, hs.status, r.actions)
		}
	}
	if r.callerStatus != r.state.callerStatus {
		r.t.Fatalf("after %s: caller's status %d, specification %d\n%v", after, r.callerStatus, r.state.callerStatus, r.actions)
	}
}

func (r *replay) status(h int) KeyStatus {
	st, ok := r.ledgers[h].Status(r.key)
	switch {
	case !ok:
		return NotReceived
	case st.State == wire.StateWaiting && r.state.host[h].status == NotRunPending:
		return NotRunPending
	case st.State == wire.StateWaiting:
		return Queued
	case st.State == wire.StateRunning:
		return Resolving
	}
	return statusOf(st.Result.Outcome)
}

func newKeyAt(at time.Time) model.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16)
	id[6], id[8] = 0x70, 0x80
	return model.Key(id.String())
}
