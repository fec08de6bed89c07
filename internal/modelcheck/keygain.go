package modelcheck

// advance moves a host's term to the next stage if the workers' answers and the time
// allow it.
func (k KeySpec) advance(s *KeyState, h *host) {
	if h.epochUsed() && !k.Mutation.RegainSameEpoch && !k.Mutation.NoFence {
		h.loseTerm(s, true)
		return
	}
	switch h.stage {
	case fencing:
		if h.fencedCount() >= majority {
			h.stage = waiting
			k.advance(s, h)
		}
	case waiting:
		mustBeUnchanged := h.gained && h.gainedEpoch == h.epoch && !k.Mutation.RegainSameEpoch && !k.Mutation.NoFence
		if h.countWorkers(k.oldHoldExpired) >= majority && (!mustBeUnchanged || h.unchangedCount() >= majority) {
			h.stage, h.scanTimedOut = scanning, false
			h.uninterrupted = h.unchangedCount() >= majority
			h.restartScan(k)
		}
	case scanning:
		if h.uninterrupted && h.unchangedCount() < majority {
			h.uninterrupted, h.scanTimedOut = false, false
			h.restartScan(k)
			return
		}
		ready := h.countWorkers(func(v *workerView) bool { return k.oldHoldExpired(v) && v.listed && v.holdLeft > 0 })
		listed := h.countWorkers(func(v *workerView) bool { return v.listed })
		if ready >= majority && (listed == workers || h.scanTimedOut) {
			k.gain(s, h)
		}
	case owned:
		if !h.hasMajorityHolds() {
			k.startTerm(h, h.epoch)
		}
	}
}

func (h *host) unchangedCount() int {
	return h.countWorkers(func(v *workerView) bool { return v.fenceAge > 0 && v.unchanged })
}

// epochUsed says that the epoch can't be gained again: tasks were started under it,
// and a majority of workers can no longer confirm that no other owner came in
// between.
func (h *host) epochUsed() bool {
	if !h.gained || h.gainedEpoch != h.epoch || h.stage != fencing && h.stage != waiting {
		return false
	}
	changed := h.countWorkers(func(v *workerView) bool { return v.fenceAge > 0 && !v.unchanged })
	return workers-changed < majority
}

// restartScan discards the listings of the previous term, unless ownership is
// uninterrupted.
func (h *host) restartScan(k KeySpec) {
	if h.uninterrupted || k.Mutation.ListBeforeFence || k.Mutation.ListBeforeExpiry {
		return
	}
	for i := range h.views {
		v := &h.views[i]
		v.listed, v.listedBefore, v.runListed, v.restartedSince = false, false, false, false
	}
}

// oldHoldExpired says that no previous owner can start tasks by virtue of a hold of
// this worker.
func (k KeySpec) oldHoldExpired(v *workerView) bool {
	return v.fenceAge > 0 && (v.unchanged || v.fenceAge > k.WaitTicks || k.Mutation.NoWait)
}

func (s *KeyState) hostIndex(h *host) uint8 {
	if h == &s.host[0] {
		return 0
	}
	return 1
}

func (k KeySpec) gain(s *KeyState, h *host) {
	uninterrupted := h.uninterrupted
	for i := range h.views {
		v := &h.views[i]
		if !uninterrupted {
			v.mayHaveRun = s.keyCreated && (!v.listed || v.restartedSince) && !k.Mutation.IgnoreHistoryGap
		}
	}
	h.stage, h.gained, h.active, h.gainedEpoch = owned, true, true, h.epoch
	at := s.hostIndex(h)
	if !uninterrupted && h.status != Done && !k.Mutation.KeepOldAttempts {
		h.forgetKey(s)
	}
	k.adoptRun(s, h)
	if h.status == NotRunPending {
		k.finish(s, at, NotRun)
	}
}

// disconnectCaller makes the caller stop listening to the host.
func (s *KeyState) disconnectCaller(h *host) {
	if s.callerHost == s.hostIndex(h)+1 {
		s.callerHost = 0
	}
}

// forgetKey removes the key, of which nothing runs, and disconnects its caller.
func (h *host) forgetKey(s *KeyState) {
	s.disconnectCaller(h)
	h.status, h.attemptEpoch, h.attemptIncarnation = NotReceived, 0, 0
	for i := range h.views {
		h.views[i].attempted = false
	}
}

// announceNotRun announces a not_run outcome that had to wait for the holds.
func (k KeySpec) announceNotRun(s *KeyState, at uint8) {
	if h := &s.host[at]; h.status == NotRunPending && h.mayStart() {
		k.finish(s, at, NotRun)
	}
}

// keyMayHaveRun says that the key may have run on any of the workers before the
// gain.
func (h *host) keyMayHaveRun() bool {
	return h.countWorkers(func(v *workerView) bool { return v.mayHaveRun }) > 0
}

// adoptRun takes over the key's run where a worker's listing showed it.
func (k KeySpec) adoptRun(s *KeyState, h *host) {
	for i := range h.views {
		v, w := &h.views[i], &s.worker[i]
		if !v.runListed || v.attempted || (h.status != NotReceived && h.status != Queued) {
			continue
		}
		v.attempted = true
		h.status, h.attemptIncarnation = Resolving, v.incarnation-1
		for e := uint8(1); e <= lastEpoch; e++ {
			if w.ranEpochs&bit(e) != 0 {
				h.attemptEpoch = e
			}
		}
	}
}
