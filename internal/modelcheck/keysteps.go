package modelcheck

func (h *host) inTerm() bool { return h.stage >= fencing && h.stage <= owned }

func (h *host) count(ok func(*guard) bool) int {
	n := 0
	for i := range h.guard {
		if ok(&h.guard[i]) {
			n++
		}
	}
	return n
}

func (h *host) fencedCount() int { return h.count(func(g *guard) bool { return g.fenced > 0 }) }

func (h *host) holding() bool {
	return h.count(func(g *guard) bool { return g.until > 0 }) >= majority
}

// mayStart is what the host's own clock allows.
func (h *host) mayStart() bool { return h.held && h.stage == owned && h.holding() }

func (k KeySpec) tick(s *KeyState, paused uint8) {
	s.ticks++
	for i := range s.worker {
		if w := &s.worker[i]; w.left > 0 {
			if w.left--; w.left == 0 {
				w.hold = 0
			}
		}
	}
	for i := range s.host {
		h := &s.host[i]
		if !h.inTerm() {
			continue
		}
		h.scanned = h.scanned || h.stage == scanning
		for j := range h.guard {
			h.guard[j].tick(k.WaitTicks)
		}
		if paused&bit(uint8(i)) == 0 {
			k.advance(s, h)
			k.sayProven(s, uint8(i))
		}
	}
}

func (g *guard) tick(wait uint8) {
	if g.fenced > 0 {
		g.fenced = min(g.fenced+1, 1+wait)
	}
	if g.until > 0 {
		g.until--
	}
}

// newTerm begins a term. An unbroken earlier one is followed.
func (k KeySpec) newTerm(h *host, epoch uint8) {
	h.follows = 0
	if h.stage == owned {
		h.follows = h.epoch
	}
	for i := range h.guard {
		g := &h.guard[i]
		if h.follows == 0 {
			*g = guard{trace: g.trace, past: g.past}
		}
		g.knew = g.knew || g.listed
		g.listed = g.listed && (k.Mutation.ListBeforeFence || k.Mutation.StaleListing)
		g.fenced, g.same, g.until = 0, false, 0
		if k.Mutation.NoFence {
			g.fenced = 1
		}
	}
	h.stage, h.epoch, h.scanned, h.held = fencing, epoch, false, false
	h.unbroken = false
}

// lose ends the term. What was not sent is dropped, and its caller sent on.
func (h *host) lose(s *KeyState, beaten bool) {
	h.beaten = h.beaten || beaten
	s.sendOn(h)
	h.stage, h.gained, h.held, h.follows, h.scanned = idle, false, false, 0, false
	h.unbroken = false
	h.term = 0
	if h.fate == Queued || h.fate == NotRunPending {
		h.drop(s)
	}
	if h.fate == StartSent {
		h.fate = Resolving
	}
	for i := range h.guard {
		h.guard[i] = guard{trace: h.guard[i].trace}
	}
}

func (k KeySpec) fence(s *KeyState, h *host, at uint8) {
	w, g := &s.worker[at], &h.guard[at]
	if !h.inTerm() || g.fenced > 0 {
		return
	}
	if w.epoch > h.epoch {
		h.lose(s, true)
		return
	}
	g.same = h.follows != 0 && w.epoch == h.follows && g.inc == w.inc+1
	g.listed = g.listed && k.Mutation.ListBeforeFence || g.knew && g.same
	g.knew = false
	if !g.listed {
		g.seen, g.late = false, false
	}
	w.epoch = h.epoch
	g.fenced, g.inc = 1, w.inc+1
	k.advance(s, h)
}

// listing says that the host may list a worker now: once it has waited.
func (k KeySpec) listing(h *host, g *guard) bool {
	if k.Mutation.ListBeforeFence {
		return h.inTerm()
	}
	return g.fenced > 0 && (h.stage >= scanning || k.Mutation.ListBeforeExpiry && h.inTerm())
}

func (k KeySpec) list(s *KeyState, h *host, at uint8) {
	w, g := &s.worker[at], &h.guard[at]
	if g.listed || !h.inTerm() || !k.listing(h, g) {
		return
	}
	if g.fenced > 0 && !k.Mutation.NoFence && g.inc != w.inc+1 {
		g.unfence()
		return
	}
	g.listed, g.seen, g.late = true, w.ran != 0, w.late
	k.listed(s, h, g, w)
	k.advance(s, h)
}

func (k KeySpec) listed(s *KeyState, h *host, g *guard, w *worker) {
	if h.stage == owned {
		g.past = g.past && w.late
		k.adopt(s, h)
	}
}

func (g *guard) unfence() { *g = guard{past: g.past, trace: g.trace} }

// askHold sends a hold's request, which may come late.
func (h *host) askHold(w *worker, g *guard) {
	if g.inc == w.inc+1 {
		w.holds |= bit(h.epoch)
	} else {
		w.oldHolds |= bit(h.epoch)
	}
}

func (k KeySpec) hold(s *KeyState, h *host, at uint8) {
	w, g := &s.worker[at], &h.guard[at]
	if !h.inTerm() || h.stage < scanning || g.fenced == 0 {
		return
	}
	if w.epoch > h.epoch {
		h.lose(s, true)
		return
	}
	if g.inc != w.inc+1 && !k.Mutation.NoFence {
		g.unfence()
		return
	}
	if !k.SeparateList && !g.listed {
		g.listed, g.seen, g.late = true, w.ran != 0, w.late
		k.listed(s, h, g, w)
	}
	h.askHold(w, g)
	w.epoch, w.hold, w.left = h.epoch, h.epoch, holdTicks
	g.until = holdTicks
	k.advance(s, h)
}

func (k KeySpec) lateHold(s *KeyState, w *worker, e uint8) {
	msgs := w.holds
	if k.Mutation.HoldAnyIncarnation {
		msgs |= w.oldHolds
	}
	if msgs&bit(e) == 0 || w.epoch > e {
		return
	}
	s.lateHolds++
	w.epoch, w.hold, w.left = e, e, holdTicks
}

func (k KeySpec) deliver(s *KeyState, w *worker, e uint8) {
	msgs := w.starts
	if k.Mutation.StartAnyIncarnation {
		msgs |= w.oldStarts
	}
	if msgs&bit(e) == 0 || (w.ran|w.barred)&bit(e) != 0 {
		return
	}
	if w.epoch > e || w.hold != e {
		return
	}
	s.mixed = s.mixed || w.ran>>(e+1) != 0
	w.ran |= bit(e)
	s.runs++
	newer := 0
	for i := range s.worker {
		if s.worker[i].epoch > e {
			newer++
		}
	}
	s.overlap = s.overlap || newer >= majority
}

func (s *KeyState) restart(w *worker) {
	s.restarts++
	*w = worker{
		inc:       w.inc + 1,
		oldStarts: w.oldStarts | w.starts,
		oldHolds:  w.oldHolds | w.holds,
		late:      s.made,
	}
}
