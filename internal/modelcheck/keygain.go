package modelcheck

// advance moves a term on as far as its answers and the time allow.
func (k KeySpec) advance(s *KeyState, h *host) {
	if h.usedUp() && !k.Mutation.RegainSameEpoch && !k.Mutation.NoFence {
		h.lose(s, true)
		return
	}
	switch h.stage {
	case fencing:
		if h.fencedCount() >= majority {
			h.stage = waiting
			k.advance(s, h)
		}
	case waiting:
		used := h.gained && h.term == h.epoch && !k.Mutation.RegainSameEpoch && !k.Mutation.NoFence
		if h.count(k.safe) >= majority && (!used || h.sameCount() >= majority) {
			h.stage, h.scanned = scanning, false
			h.unbroken = h.sameCount() >= majority
			h.rescan(k)
		}
	case scanning:
		if h.unbroken && h.sameCount() < majority {
			h.unbroken, h.scanned = false, false
			h.rescan(k)
			return
		}
		ready := h.count(func(g *guard) bool { return k.safe(g) && g.listed && g.until > 0 })
		listed := h.count(func(g *guard) bool { return g.listed })
		if ready >= majority && (listed == workers || h.scanned) {
			k.gain(s, h)
		}
	case owned:
		if !h.holding() {
			k.newTerm(h, h.epoch)
		}
	}
}

func (h *host) sameCount() int {
	return h.count(func(g *guard) bool { return g.fenced > 0 && g.same })
}

// usedUp says that the epoch can't be gained again: work was started under it,
// and a majority can't vouch that nobody came in between.
func (h *host) usedUp() bool {
	if !h.gained || h.term != h.epoch || h.stage != fencing && h.stage != waiting {
		return false
	}
	changed := h.count(func(g *guard) bool { return g.fenced > 0 && !g.same })
	return workers-changed < majority
}

// rescan forgets the listings of the term before, unless they still stand.
func (h *host) rescan(k KeySpec) {
	if h.unbroken || k.Mutation.ListBeforeFence || k.Mutation.ListBeforeExpiry {
		return
	}
	for i := range h.guard {
		g := &h.guard[i]
		g.listed, g.knew, g.seen, g.late = false, false, false, false
	}
}

// safe says that no old owner can start keyed work by this witness's leave.
func (k KeySpec) safe(g *guard) bool {
	return g.fenced > 0 && (g.same || g.fenced > k.WaitTicks || k.Mutation.NoWait)
}

func (s *KeyState) index(h *host) uint8 {
	if h == &s.host[0] {
		return 0
	}
	return 1
}

func (k KeySpec) gain(s *KeyState, h *host) {
	follows := h.unbroken
	for i := range h.guard {
		g := &h.guard[i]
		if !follows {
			g.past = s.made && (!g.listed || g.late) && !k.Mutation.IgnoreHistoryGap
		}
	}
	h.stage, h.gained, h.held, h.term = owned, true, true, h.epoch
	at := s.index(h)
	if !follows && h.fate != Done && !k.Mutation.KeepOldAttempts {
		h.drop(s)
	}
	k.adopt(s, h)
	if h.fate == NotRunPending {
		k.end(s, at, NotRun)
	}
}

// sendOn makes the caller stop listening to a host.
func (s *KeyState) sendOn(h *host) {
	if s.target == s.index(h)+1 {
		s.target = 0
	}
}

// drop forgets the key, of which nothing runs, and sends its caller on.
func (h *host) drop(s *KeyState) {
	s.sendOn(h)
	h.fate, h.lease, h.inc = NotReceived, 0, 0
	for i := range h.guard {
		h.guard[i].trace = false
	}
}

// sayProven tells a proof that had to wait for the holds.
func (k KeySpec) sayProven(s *KeyState, at uint8) {
	if h := &s.host[at]; h.fate == NotRunPending && h.mayStart() {
		k.end(s, at, NotRun)
	}
}

func (h *host) past() bool { return h.count(func(g *guard) bool { return g.past }) > 0 }

// adopt follows the key's run where a listing showed it.
func (k KeySpec) adopt(s *KeyState, h *host) {
	for i := range h.guard {
		g, w := &h.guard[i], &s.worker[i]
		if !g.seen || g.trace || (h.fate != NotReceived && h.fate != Queued) {
			continue
		}
		g.trace = true
		h.fate, h.inc = Resolving, g.inc-1
		for e := uint8(1); e <= lastEp; e++ {
			if w.ran&bit(e) != 0 {
				h.lease = e
			}
		}
	}
}
