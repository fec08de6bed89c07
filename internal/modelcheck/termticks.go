package modelcheck

// maxOutdatedAge is the time since a later claim after which no owner renews leases for which that claim
// need not allow.
const maxOutdatedAge = ownerGraceTicks + 1 - renewalStaleTicks

// tickKeeping advances the time of owners, writes and witnesses.
func (k TermSpec) tickKeeping(s *TermState) {
	if k.Keeping.Sets == 0 {
		return
	}
	s.keeping.earlier = max(s.keeping.earlier, 1) - 1
	for h := range s.instance {
		s.tickOwner(&s.instance[h])
		s.keeping.claim[h].tick()
		for n := range s.keeping.renewal[h] {
			s.keeping.renewal[h][n].tick()
		}
	}
	for x := range s.keeping.witness {
		w := &s.keeping.witness[x]
		w.promiseLeft = max(w.promiseLeft, 1) - 1
		if w.restarted {
			w.upFor = min(w.upFor+1, renewalStaleTicks)
		}
	}
	k.normalize(s)
}

func (s *TermState) tickOwner(i *instanceState) {
	if i.term == 0 {
		return
	}
	if i.term < s.term {
		i.outdatedAge = min(i.outdatedAge+1, maxOutdatedAge)
	}
	v := &i.keeping
	v.earlier = max(v.earlier, 1) - 1
	v.storedAge = min(v.storedAge+1, maxStoredAge)
	for x := range witnesses {
		if v.ask[x] != askNone {
			v.askAge[x] = min(v.askAge[x]+1, maxAge)
		}
		if v.promiseAge[x] > 0 {
			v.promiseAge[x]++
		}
	}
}

func (w *write) tick() {
	if w.phase != writeNone {
		w.age = min(w.age+1, maxStoredAge)
		w.earlier = max(w.earlier, 1) - 1
	}
}

// normalize forgets what has no effect any more: questions and promises that can't
// confirm a term for longer, answers to an instance that has lost its term, claims
// noticed too late, and what a witness knows of promises that are over.
func (k TermSpec) normalize(s *TermState) {
	for h := range s.instance {
		i, c := &s.instance[h], &s.keeping.claim[h]
		k.normalizeView(i)
		if c.phase == writeStored && c.age > ownerGraceTicks && !k.Keeping.CountClaimFromArrival {
			*c = write{}
		}
		if c.phase != writeNone {
			c.age = min(c.age, ownerGraceTicks+1)
		}
		for n := range s.keeping.renewal[h] {
			if w := &s.keeping.renewal[h][n]; w.phase == writeStored && i.term == 0 {
				*w = write{}
			}
		}
	}
	for x := range s.keeping.witness {
		if w := &s.keeping.witness[x]; w.promiseLeft == 0 {
			w.promiseTerm = 0
		}
	}
}

func (k TermSpec) normalizeView(i *instanceState) {
	v := &i.keeping
	for x := range witnesses {
		if v.askAge[x] >= i.confirmationAge && !k.Keeping.CountFromArrival {
			v.ask[x], v.askAge[x] = askNone, 0
		}
		if v.promiseAge[x] > i.confirmationAge {
			v.promiseAge[x] = 0
		}
	}
}
