package modelcheck

// The ways in which the network may be parted. A part can't add behaviours to a
// specification without faults, as a message may arrive at any time or never; it decides
// what a peer says of the store.
const (
	// splitIsland separates instance 0, worker 0 and witness 0 from the others, which
	// reach the store.
	splitIsland = iota + 1
	// splitStore separates the store from everybody.
	splitStore
)

// isSymmetric says whether instances may be exchanged, and workers: no cut tells them apart
// any more.
func (s *TermState) isSymmetric() bool { return s.keeping.split == 0 && s.keeping.splitsLeft == 0 }

// reachesStore says whether the store serves an instance.
func (s TermState) reachesStore(h uint8) bool {
	switch s.keeping.split {
	case splitIsland:
		return h != 0
	case splitStore:
		return false
	}
	return true
}

// reachesWorker says whether the host and the worker of an action reach each other.
func (s TermState) reachesWorker(a Action) bool {
	return !s.worker[a.Worker].partitioned && s.reachesWitness(a.Host, a.Worker)
}

// reachesWitness says whether an instance and a witness reach each other.
func (s TermState) reachesWitness(h, x uint8) bool {
	return s.keeping.split != splitIsland || (h == 0) == (x == 0)
}

// split parts the network in one of the ways, or heals it.
func (k TermSpec) split(s *TermState, way uint8) {
	switch {
	case s.keeping.split != 0:
		s.keeping.split = 0
	case s.keeping.splitsLeft > 0:
		s.keeping.splitsLeft--
		s.keeping.split = way
	}
}

// peerWord confirms a term if a peer says that the store does not serve it. Which
// processes the store serves is the same for instances and witnesses.
func (k TermSpec) peerWord(s *TermState, h, x uint8) {
	i := &s.instance[h]
	if k.Keeping.TrustPeerWord && i.term != 0 && s.reachesWitness(h, x) && !s.reachesStore(x) {
		i.confirmationAge = 0
	}
}
