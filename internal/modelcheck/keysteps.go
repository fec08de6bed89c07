package modelcheck

func (h *host) hasTerm() bool { return h.stage >= fencing && h.stage <= owned }

func (h *host) countWorkers(ok func(*workerView) bool) int {
	n := 0
	for i := range h.views {
		if ok(&h.views[i]) {
			n++
		}
	}
	return n
}

func (h *host) fencedCount() int {
	return h.countWorkers(func(v *workerView) bool { return v.fenceAge > 0 })
}

func (h *host) hasMajorityHolds() bool {
	return h.countWorkers(func(v *workerView) bool { return v.holdLeft > 0 }) >= majority
}

// mayStart says that the host may start tasks, judged by its own clock.
func (h *host) mayStart() bool { return h.active && h.stage == owned && h.hasMajorityHolds() }

func (k KeySpec) tick(s *KeyState, paused uint8) {
	s.ticks++
	for i := range s.worker {
		if w := &s.worker[i]; w.holdLeft > 0 {
			if w.holdLeft--; w.holdLeft == 0 {
				w.holdEpoch = 0
			}
		}
	}
	for i := range s.host {
		h := &s.host[i]
		if !h.hasTerm() {
			continue
		}
		h.scanTimedOut = h.scanTimedOut || h.stage == scanning
		for j := range h.views {
			h.views[j].tick(k.WaitTicks)
		}
		if paused&bit(uint8(i)) == 0 {
			k.advance(s, h)
			k.announceNotRun(s, uint8(i))
		}
	}
}

func (v *workerView) tick(wait uint8) {
	if v.fenceAge > 0 {
		v.fenceAge = min(v.fenceAge+1, 1+wait)
	}
	if v.holdLeft > 0 {
		v.holdLeft--
	}
}

// startTerm begins a term. If the host owns the group, it keeps its views of the
// workers for the new term.
func (k KeySpec) startTerm(h *host, epoch uint8) {
	h.previousEpoch = 0
	if h.stage == owned {
		h.previousEpoch = h.epoch
	}
	for i := range h.views {
		v := &h.views[i]
		if h.previousEpoch == 0 {
			*v = workerView{attempted: v.attempted, mayHaveRun: v.mayHaveRun}
		}
		v.listedBefore = v.listedBefore || v.listed
		v.listed = v.listed && (k.Mutation.ListBeforeFence || k.Mutation.StaleListing)
		v.fenceAge, v.unchanged, v.holdLeft = 0, false, 0
		if k.Mutation.NoFence {
			v.fenceAge = 1
		}
	}
	h.stage, h.epoch, h.scanTimedOut, h.active = fencing, epoch, false, false
	h.uninterrupted = false
}

// loseTerm ends the term. A key whose start was not sent is forgotten, and its
// caller is disconnected.
func (h *host) loseTerm(s *KeyState, superseded bool) {
	h.superseded = h.superseded || superseded
	s.disconnectCaller(h)
	h.stage, h.gained, h.active, h.previousEpoch, h.scanTimedOut = idle, false, false, 0, false
	h.uninterrupted = false
	h.gainedEpoch = 0
	if h.status == Queued || h.status == NotRunPending {
		h.forgetKey(s)
	}
	if h.status == StartSent {
		h.status = Resolving
	}
	for i := range h.views {
		h.views[i] = workerView{attempted: h.views[i].attempted}
	}
}

func (k KeySpec) fence(s *KeyState, h *host, at uint8) {
	w, v := &s.worker[at], &h.views[at]
	if !h.hasTerm() || v.fenceAge > 0 {
		return
	}
	if w.epoch > h.epoch {
		h.loseTerm(s, true)
		return
	}
	v.unchanged = h.previousEpoch != 0 && w.epoch == h.previousEpoch && v.incarnation == w.incarnation+1
	v.listed = v.listed && k.Mutation.ListBeforeFence || v.listedBefore && v.unchanged
	v.listedBefore = false
	if !v.listed {
		v.runListed, v.restartedSince = false, false
	}
	w.epoch = h.epoch
	v.fenceAge, v.incarnation = 1, w.incarnation+1
	k.advance(s, h)
}

// mayList says that the host may list a worker now, which is after the wait.
func (k KeySpec) mayList(h *host, v *workerView) bool {
	if k.Mutation.ListBeforeFence {
		return h.hasTerm()
	}
	return v.fenceAge > 0 && (h.stage >= scanning || k.Mutation.ListBeforeExpiry && h.hasTerm())
}

func (k KeySpec) list(s *KeyState, h *host, at uint8) {
	w, v := &s.worker[at], &h.views[at]
	if v.listed || !h.hasTerm() || !k.mayList(h, v) {
		return
	}
	if v.fenceAge > 0 && !k.Mutation.NoFence && v.incarnation != w.incarnation+1 {
		v.unfence()
		return
	}
	v.listed, v.runListed, v.restartedSince = true, w.ranEpochs != 0, w.restartedSince
	k.applyListing(s, h, v, w)
	k.advance(s, h)
}

func (k KeySpec) applyListing(s *KeyState, h *host, v *workerView, w *worker) {
	if h.stage == owned {
		v.mayHaveRun = v.mayHaveRun && w.restartedSince
		k.adoptRun(s, h)
	}
}

func (v *workerView) unfence() { *v = workerView{mayHaveRun: v.mayHaveRun, attempted: v.attempted} }

// sendHold records a request for a hold that may arrive late.
func (h *host) sendHold(w *worker, v *workerView) {
	if v.incarnation == w.incarnation+1 {
		w.holdsInFlight |= bit(h.epoch)
	} else {
		w.staleHolds |= bit(h.epoch)
	}
}

func (k KeySpec) hold(s *KeyState, h *host, at uint8) {
	w, v := &s.worker[at], &h.views[at]
	if !h.hasTerm() || h.stage < scanning || v.fenceAge == 0 {
		return
	}
	if w.epoch > h.epoch {
		h.loseTerm(s, true)
		return
	}
	if v.incarnation != w.incarnation+1 && !k.Mutation.NoFence {
		v.unfence()
		return
	}
	if !k.SeparateList && !v.listed {
		v.listed, v.runListed, v.restartedSince = true, w.ranEpochs != 0, w.restartedSince
		k.applyListing(s, h, v, w)
	}
	h.sendHold(w, v)
	w.epoch, w.holdEpoch, w.holdLeft = h.epoch, h.epoch, holdTTLTicks
	v.holdLeft = holdTTLTicks
	k.advance(s, h)
}

func (k KeySpec) deliverDelayedHold(s *KeyState, w *worker, e uint8) {
	msgs := w.holdsInFlight
	if k.Mutation.HoldAnyIncarnation {
		msgs |= w.staleHolds
	}
	if msgs&bit(e) == 0 || w.epoch > e {
		return
	}
	s.delayedHolds++
	w.epoch, w.holdEpoch, w.holdLeft = e, e, holdTTLTicks
}

func (k KeySpec) deliverStart(s *KeyState, w *worker, e uint8) {
	msgs := w.startsInFlight
	if k.Mutation.StartAnyIncarnation {
		msgs |= w.staleStarts
	}
	if msgs&bit(e) == 0 || (w.ranEpochs|w.barredEpochs)&bit(e) != 0 {
		return
	}
	if w.epoch > e || w.holdEpoch != e {
		return
	}
	s.epochDecreased = s.epochDecreased || w.ranEpochs>>(e+1) != 0
	w.ranEpochs |= bit(e)
	s.runs++
	newerWorkers := 0
	for i := range s.worker {
		if s.worker[i].epoch > e {
			newerWorkers++
		}
	}
	s.oldOwnerStarted = s.oldOwnerStarted || newerWorkers >= majority
}

func (s *KeyState) restart(w *worker) {
	s.restarts++
	*w = worker{
		incarnation:    w.incarnation + 1,
		staleStarts:    w.staleStarts | w.startsInFlight,
		staleHolds:     w.staleHolds | w.holdsInFlight,
		restartedSince: s.keyCreated,
	}
}
