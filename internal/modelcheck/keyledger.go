package modelcheck

// offer hands the caller's key to a host that owns the group. A late offer is one
// made before, under the same epoch.
func (k KeySpec) offer(s *KeyState, a Action) {
	h := &s.host[a.Host]
	if !s.made || !h.gained {
		return
	}
	if a.Kind == Submit {
		if s.told.final() {
			return
		}
		s.target = a.Host + 1
		s.offers |= bit(h.term)
	} else if !k.offered(s, h, a.Host) {
		return
	}
	switch {
	case h.fate == NotReceived && h.past():
		s.tell(a.Host, OutcomeUnknown)
	case h.fate == NotReceived:
		h.fate = Queued
	case h.fate == NotRun && !h.mayStart() && !k.Mutation.RepeatNotRun:
		// Another owner may have run it since.
	case h.fate.final():
		s.tell(a.Host, h.fate)
	}
}

// offered says that an offer to the host may still be under way.
func (k KeySpec) offered(s *KeyState, h *host, at uint8) bool {
	if !k.Mutation.SubmitAnyEpoch {
		return s.offers&bit(h.term) != 0
	}
	mine := bit(at + 1)
	if s.winner == at+1 {
		mine |= bit(lastEp)
	}
	return s.offers&mine != 0
}

// tell answers the caller, who listens to the host of its latest offer only.
func (s *KeyState) tell(at uint8, f KeyStatus) {
	if s.target == at+1 && !s.told.final() {
		s.told = f
	}
}

func (k KeySpec) begin(s *KeyState, h *host, at uint8) {
	if h.fate != Queued || !h.mayStart() {
		return
	}
	w := &s.worker[at]
	h.fate, h.lease, h.inc = StartSent, h.epoch, w.inc
	h.guard[at].trace = true
	if h.guard[at].inc == w.inc+1 {
		w.starts |= bit(h.epoch)
	} else {
		w.oldStarts |= bit(h.epoch)
	}
}

// ask settles the attempt at its worker: an unstarted lease is barred.
func (k KeySpec) ask(s *KeyState, a Action) {
	h, w := &s.host[a.Host], &s.worker[a.Worker]
	if h.fate != Resolving || !h.gained || !h.guard[a.Worker].trace {
		return
	}
	if w.epoch > h.epoch {
		if a.Kind == Resolve {
			h.lose(s, true)
		}
		return
	}
	w.epoch = h.epoch
	ran := w.ran&bit(h.lease) != 0
	if !ran {
		w.barred |= bit(h.lease)
	}
	switch {
	case a.Kind == ResolveUnanswered:
	case ran:
		k.end(s, a.Host, Done)
	case w.inc != h.inc && !k.Mutation.TrustBarAfterRestart:
		k.end(s, a.Host, OutcomeUnknown)
	case h.mayStart():
		k.end(s, a.Host, NotRun)
	default:
		h.fate = NotRunPending
	}
}

func (k KeySpec) answer(s *KeyState, at uint8) {
	h := &s.host[at]
	if h.fate != StartSent {
		return
	}
	for i := range h.guard {
		if h.guard[i].trace && s.worker[i].ran&bit(h.lease) != 0 {
			k.end(s, at, Done)
			return
		}
	}
}

func (k KeySpec) end(s *KeyState, at uint8, f KeyStatus) {
	h := &s.host[at]
	h.fate, h.lease, h.inc = f, 0, 0
	for i := range h.guard {
		h.guard[i].trace = false
	}
	s.tell(at, f)
}

// claim writes and reads the second claim.
func (k KeySpec) claim(s *KeyState, a Action) {
	h := &s.host[a.Host]
	switch a.Kind {
	case SendClaim:
		successor := h.stage == owned && h.epoch == 2
		if h.read || h.wrote || (!successor && !h.beaten) {
			return
		}
		h.wrote = true
		s.landing |= bit(a.Host)
	case AppendClaim:
		if s.landing&bit(a.Host) == 0 {
			return
		}
		if s.winner == 0 {
			s.winner = a.Host + 1
		}
	case ReadClaim:
		k.read(s, h, a.Host)
	}
}

func (k KeySpec) read(s *KeyState, h *host, at uint8) {
	if s.winner == 0 || h.read {
		return
	}
	h.read = true
	if s.winner == at+1 {
		k.newTerm(h, lastEp)
		return
	}
	if h.inTerm() {
		h.lose(s, false)
	}
}
