package modelcheck

// Do gives the state after an action, the same state when it is not possible.
func (k TermSpec) Do(s TermState, a Action) TermState {
	i, w := &s.inst[a.Host], &s.worker[a.Worker]
	switch a.Kind {
	case TermTick:
		k.tick(&s)
	case TermClaim:
		k.claim(&s, a.Host)
	case TermRenew:
		if i.term != 0 && i.term == s.term {
			s.age, i.proof = 0, 0
		}
	case TermHold:
		k.hold(i, w, a.Worker)
	case TermStart:
		k.start(&s, a)
	case TermStartDelivered:
		k.arrive(&s)
	case TermStartLost:
		s.flight, s.flightTo, s.flightLeft = 0, 0, 0
	case TermStop:
		k.stop(i, w, a.Worker)
	case TermTaskEnd:
		if w.run != 0 {
			w.run, w.ended, w.lapsed = 0, true, false
		}
	case TermRecordEnd:
		if i.term != 0 && i.term == s.term && i.task == taskEnded {
			s.recorded = true
		}
	case TermAcknowledgeEnd:
		if i.term != 0 && w.ended && k.obeys(w, i.term) && !w.cut && i.task == taskEnded && (s.recorded || k.AckBeforeRecord) {
			s.acked = s.acked || !w.lapsed
			w.ended, w.lapsed, w.lease = false, false, 0
		}
	case TermPartition:
		if w.cut || s.cuts < k.MaxPartitions {
			s.cuts += b2u(!w.cut)
			w.cut = !w.cut
		}
	case TermRestart:
		k.restart(&s, a.Worker)
	}
	return s
}

// tick passes time: leases lapse, proofs age, owners without one give up.
func (k TermSpec) tick(s *TermState) {
	s.age = min(s.age+1, ageMax)
	if s.flight != 0 {
		if s.flightLeft--; s.flightLeft == 0 { // workers refuse it from now on
			s.flight, s.flightTo = 0, 0
		}
	}
	for n := range s.inst {
		i := &s.inst[n]
		if i.term == 0 {
			continue
		}
		i.proof, i.since = min(i.proof+1, ageMax), min(i.since+1, ageMax)
		if i.proof > termGrace && !k.RenewUnconfirmed {
			*i = instanceState{}
		}
	}
	for n := range s.worker {
		w := &s.worker[n]
		if w.lease == 0 {
			continue
		}
		w.lease--
		if w.lease == 0 {
			w.run, w.lapsed = 0, w.ended
		}
	}
}

// claim takes the next term when the renewal of the present one is old. What is
// durable is read; the workers are asked later.
func (k TermSpec) claim(s *TermState, h uint8) {
	if s.age < termStale || s.term >= k.MaxTerms || (s.inst[h].term != 0 && s.inst[h].term == s.term) {
		return
	}
	s.term++
	s.owner, s.age = h, 0
	s.inst[h] = instanceState{term: s.term, on: noWorker}
	if s.recorded {
		s.inst[h].task = taskEnded
	}
}

// obeys says whether a worker takes an order of a term.
func (k TermSpec) obeys(w *workerState, term uint8) bool { return k.NoFence || term >= w.fence }

// hold fences a worker, renews its lease and reads its lists.
func (k TermSpec) hold(i *instanceState, w *workerState, n uint8) {
	if i.term == 0 || w.cut {
		return
	}
	if !k.obeys(w, i.term) {
		*i = instanceState{} // a higher term exists
		return
	}
	w.fence = max(w.fence, i.term)
	if w.run != 0 || w.ended && !w.lapsed {
		w.lease = termLease
	}
	i.heard |= bit(n)
	switch {
	case w.ended:
		i.task, i.on = taskEnded, n
	case w.run != 0 && i.task != taskEnded:
		i.task, i.on, i.stopped = taskSeen, n, false
	case i.on == n && i.task == taskSeen, i.on == n && i.task == taskOrdered && i.stopped:
		i.task, i.on, i.stopped = taskWaiting, noWorker, false
	}
}

// start orders the task once nothing of an earlier term can run unseen.
func (k TermSpec) start(s *TermState, a Action) {
	i := &s.inst[a.Host]
	all := i.heard == bit(0)|bit(1)
	if i.term == 0 || i.task != taskWaiting || (i.proof > termStartGrace && !k.StartUnconfirmed) || s.flight != 0 {
		return
	}
	if i.heard&bit(a.Worker) == 0 || (!all && i.since < termSilent && !k.NoWait) {
		return
	}
	s.flight, s.flightTo, s.flightLeft = i.term, a.Worker, termLease
	i.task, i.on, i.stopped = taskOrdered, a.Worker, false
	if k.AssumeStartLost {
		i.task, i.on = taskWaiting, noWorker
	}
}

// arrive carries a start out at its worker.
func (k TermSpec) arrive(s *TermState) {
	if s.flight == 0 {
		return
	}
	w, term, left := &s.worker[s.flightTo], s.flight, s.flightLeft
	s.flight, s.flightTo, s.flightLeft = 0, 0, 0
	if !k.obeys(w, term) || w.run != 0 || term <= w.barred || w.ended {
		return
	}
	s.again = s.again || s.acked
	for n := range s.worker {
		s.twice = s.twice || s.worker[n].run != 0
	}
	w.run, w.lease, w.fence = term, left, max(w.fence, term)
}

// stop bars a run of the owner's term at a worker, and ends it if it is there.
func (k TermSpec) stop(i *instanceState, w *workerState, n uint8) {
	if i.term == 0 || w.cut || i.task != taskOrdered || i.on != n || !k.obeys(w, i.term) {
		return
	}
	w.barred = max(w.barred, i.term)
	if w.run != 0 {
		w.run, w.lease = 0, 0
	}
	i.stopped = true
}

// restart begins a worker's next life, which knows no term and runs nothing. A
// start under way does not outlive the process that it was sent to. Owners
// learn of it from the worker's lists.
func (k TermSpec) restart(s *TermState, n uint8) {
	if s.restarts >= k.MaxRestarts {
		return
	}
	s.restarts++
	s.worker[n] = workerState{cut: s.worker[n].cut}
	if s.flight != 0 && s.flightTo == n {
		s.flight, s.flightTo, s.flightLeft = 0, 0, 0
	}
	for h := range s.inst {
		i := &s.inst[h]
		if i.on == n && (i.task == taskOrdered || i.task == taskSeen) {
			i.task, i.on, i.stopped = taskWaiting, noWorker, false
		}
	}
}
