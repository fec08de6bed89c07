package modelcheck

// submit sends the caller's key to a host that owns the group. A delayed submission is
// one that was sent before under the same epoch.
func (k KeySpec) submit(s *KeyState, a Action) {
	h := &s.host[a.Host]
	if !s.keyCreated || !h.gained {
		return
	}
	if a.Kind == Submit {
		if s.callerStatus.final() {
			return
		}
		s.callerHost = a.Host + 1
		s.submitEpochs |= bit(h.gainedEpoch)
	} else if !k.submitInFlight(s, h, a.Host) {
		return
	}
	switch {
	case h.status == NotReceived && h.keyMayHaveRun():
		s.answerCaller(a.Host, OutcomeUnknown)
	case h.status == NotReceived:
		h.status = Queued
	case h.status == NotRun && !h.mayStart() && !k.Mutation.RepeatNotRun:
		// Another owner may have run the key in the meantime.
	case h.status.final():
		s.answerCaller(a.Host, h.status)
	}
}

// submitInFlight says that a submission to the host may still be in flight.
func (k KeySpec) submitInFlight(s *KeyState, h *host, at uint8) bool {
	if !k.Mutation.SubmitAnyEpoch {
		return s.submitEpochs&bit(h.gainedEpoch) != 0
	}
	ownEpochs := bit(at + 1)
	if s.claimWinner == at+1 {
		ownEpochs |= bit(lastEpoch)
	}
	return s.submitEpochs&ownEpochs != 0
}

// answerCaller answers the caller, who listens only to the host of its latest
// submission.
func (s *KeyState) answerCaller(at uint8, status KeyStatus) {
	if s.callerHost == at+1 && !s.callerStatus.final() {
		s.callerStatus = status
	}
}

func (k KeySpec) sendStart(s *KeyState, h *host, at uint8) {
	if h.status != Queued || !h.mayStart() {
		return
	}
	w := &s.worker[at]
	h.status, h.attemptEpoch, h.attemptIncarnation = StartSent, h.epoch, w.incarnation
	h.views[at].attempted = true
	if h.views[at].incarnation == w.incarnation+1 {
		w.startsInFlight |= bit(h.epoch)
	} else {
		w.staleStarts |= bit(h.epoch)
	}
}

// resolve asks the attempt's worker for its outcome. If the start has not arrived,
// the worker bars it.
func (k KeySpec) resolve(s *KeyState, a Action) {
	h, w := &s.host[a.Host], &s.worker[a.Worker]
	if h.status != Resolving || !h.gained || !h.views[a.Worker].attempted {
		return
	}
	if w.epoch > h.epoch {
		if a.Kind == Resolve {
			h.loseTerm(s, true)
		}
		return
	}
	w.epoch = h.epoch
	ran := w.ranEpochs&bit(h.attemptEpoch) != 0
	if !ran {
		w.barredEpochs |= bit(h.attemptEpoch)
	}
	switch {
	case a.Kind == ResolveUnanswered:
	case ran:
		k.finish(s, a.Host, Done)
	case w.incarnation != h.attemptIncarnation && !k.Mutation.TrustBarAfterRestart:
		k.finish(s, a.Host, OutcomeUnknown)
	case h.mayStart():
		k.finish(s, a.Host, NotRun)
	default:
		h.status = NotRunPending
	}
}

func (k KeySpec) deliverAnswer(s *KeyState, at uint8) {
	h := &s.host[at]
	if h.status != StartSent {
		return
	}
	for i := range h.views {
		if h.views[i].attempted && s.worker[i].ranEpochs&bit(h.attemptEpoch) != 0 {
			k.finish(s, at, Done)
			return
		}
	}
}

func (k KeySpec) finish(s *KeyState, at uint8, status KeyStatus) {
	h := &s.host[at]
	h.status, h.attemptEpoch, h.attemptIncarnation = status, 0, 0
	for i := range h.views {
		h.views[i].attempted = false
	}
	s.answerCaller(at, status)
}

// claim sends, appends or reads the second claim.
func (k KeySpec) claim(s *KeyState, a Action) {
	h := &s.host[a.Host]
	switch a.Kind {
	case SendClaim:
		successor := h.stage == owned && h.epoch == 2
		if h.claimRead || h.claimSent || (!successor && !h.superseded) {
			return
		}
		h.claimSent = true
		s.claimsInFlight |= bit(a.Host)
	case AppendClaim:
		if s.claimsInFlight&bit(a.Host) == 0 {
			return
		}
		if s.claimWinner == 0 {
			s.claimWinner = a.Host + 1
		}
	case ReadClaim:
		k.readClaim(s, h, a.Host)
	}
}

func (k KeySpec) readClaim(s *KeyState, h *host, at uint8) {
	if s.claimWinner == 0 || h.claimRead {
		return
	}
	h.claimRead = true
	if s.claimWinner == at+1 {
		k.startTerm(h, lastEpoch)
		return
	}
	if h.hasTerm() {
		h.loseTerm(s, false)
	}
}
