package faultrun

import (
	"coltsfootmux/internal/core/ledger"
	"coltsfootmux/internal/core/ownership"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// doOwn carries an action of the ownership core out.
func (h *host) doOwn(a ownership.Action) {
	switch a := a.(type) {
	case ownership.AppendClaim:
		h.sim.appendClaim(h, a.ID, a.Claim)
	case ownership.Beat:
		ev := ownership.BeatReceived{From: h.id, Claims: a.Claims}
		h.peer("beat", a.To, func(p *host) { p.stepOwn(ev) })
	case ownership.TellHandOver:
		ev := ownership.HandedOver{From: h.id, Claim: a.Claim}
		h.peer("hand over", a.To, func(p *host) { p.stepOwn(ev) })
	case ownership.Fence:
		h.fence(a)
	case ownership.List:
		h.list(a)
	case ownership.Hold:
		h.hold(a)
	case ownership.Gain:
		h.gain(a)
	case ownership.Joined:
		if a.Scope.Kind == model.ScopeGroup {
			h.stepLed(ledger.WorkerJoined{Group: groupOf(a.Scope), Found: foundIn(a.Found), Gap: a.Gap})
		}
	case ownership.Suspend:
		if g := h.gained[groupOf(a.Scope)]; g != nil {
			g.suspended = true
		}
		h.stepLed(ledger.HoldsLapsed{Group: groupOf(a.Scope)})
	case ownership.Lose:
		if a.Scope.Kind == model.ScopeGroup {
			delete(h.gained, groupOf(a.Scope))
			h.stepLed(ledger.GroupLost{Group: groupOf(a.Scope)})
		}
	}
}

func (h *host) fence(a ownership.Fence) {
	ask := func(m *machine) (platform.Fenced, error) {
		return m.w.Fence(background, platform.Fence{Scope: a.Scope, Epoch: a.Epoch})
	}
	call(h, "fence", h.sim.byWorker[a.Worker.ID], ask, func(f platform.Fenced, err error) {
		h.stepOwn(ownership.FenceAnswered{Scope: a.Scope, Epoch: a.Epoch, Worker: a.Worker.ID, Fenced: f, Err: err})
	})
}

func (h *host) list(a ownership.List) {
	ask := func(m *machine) (platform.Listing, error) { return m.w.List(background, a.Scope) }
	call(h, "list", h.sim.byWorker[a.Worker.ID], ask, func(l platform.Listing, err error) {
		h.stepOwn(ownership.ListAnswered{Scope: a.Scope, Epoch: a.Epoch, Worker: a.Worker.ID, Listing: l, Err: err})
	})
}

func (h *host) hold(a ownership.Hold) {
	sent := h.sim.now
	ask := func(m *machine) (platform.Held, error) {
		held, err := m.w.Hold(background, []platform.Hold{{
			Group: groupOf(a.Scope), Epoch: a.Epoch, TTL: a.TTL, Echo: a.Echo, Incarnation: a.Incarnation,
		}})
		if err != nil {
			return platform.Held{}, err
		}
		return held[0], nil
	}
	call(h, "hold", h.sim.byWorker[a.Worker.ID], ask, func(held platform.Held, err error) {
		h.stepOwn(ownership.HoldAnswered{
			Scope: a.Scope, Epoch: a.Epoch, Worker: a.Worker.ID, Sent: sent, Held: held, Err: err,
		})
	})
}

// gain reads what the log knows of a gained group before its ledger hears of it.
func (h *host) gain(a ownership.Gain) {
	h.sim.gains = append(h.sim.gains, gainNote{h.sim.now, a.Target.Scope, h.id})
	if a.Target.Scope.Kind != model.ScopeGroup {
		return
	}
	g := groupOf(a.Target.Scope)
	now := &gained{event: ledger.GroupGained{Group: g, Epoch: a.Epoch, Gap: a.Gap, Unbroken: a.Unbroken}}
	if old := h.gained[g]; old != nil && a.Unbroken {
		// The ledger has not heard yet what was found before.
		now.event.Found, now.event.Unbroken = old.event.Found, old.event.Unbroken
	}
	for _, f := range a.Found {
		now.event.Found = append(now.event.Found, foundIn(f)...)
	}
	if now.event.Unbroken {
		// The ledger has the outcomes, and the log may be slow.
		delete(h.gained, g)
		h.stepLed(now.event)
		return
	}
	h.gained[g] = now
	h.sim.readOutcomes(h, g, func(outcomes []ledger.Recorded) {
		if h.gained[g] != now || now.suspended {
			return
		}
		delete(h.gained, g)
		now.event.Outcomes = outcomes
		h.stepLed(now.event)
	})
}

// gained is a group whose history is being read.
type gained struct {
	event ledger.GroupGained
	// suspended says that its holds lapsed before the history was there.
	suspended bool
}

func foundIn(s ownership.Scanned) (out []ledger.Found) {
	for _, l := range s.Listing.Leases {
		out = append(out, ledger.Found{
			Worker: s.Worker.ID, Cell: l.Cell, Lease: l.Lease, Label: l.Label, Started: l.Started,
		})
	}
	for i := range s.Listing.Ended {
		e := &s.Listing.Ended[i]
		out = append(out, ledger.Found{
			Worker: s.Worker.ID, Lease: e.Lease, Label: e.Label, Started: true, Ending: e,
		})
	}
	return out
}

func groupOf(s model.Scope) model.GroupID {
	var g model.GroupID
	for _, r := range s.Name {
		g = g*10 + model.GroupID(r-'0')
	}
	return g
}
