package modelcheck

// Do returns the state after an action, which is the same state if the action is not
// possible.
func (k TermSpec) Do(s TermState, a Action) TermState {
	if a.Kind >= firstKeepingAction {
		return k.doKeeping(s, a)
	}
	return k.doTask(s, a)
}

func (k TermSpec) doTask(s TermState, a Action) TermState {
	i, w := &s.instance[a.Host], &s.worker[a.Worker]
	switch a.Kind {
	case TermTick:
		k.tick(&s)
	case TermClaim:
		k.claim(&s, a.Host)
	case TermRenew:
		if i.term != 0 && i.term == s.term && k.Keeping.Sets == 0 && s.reachesStore(a.Host) {
			s.renewalAge, i.confirmationAge = 0, 0
		}
	case TermHold:
		k.hold(&s, a)
	case TermStart:
		k.start(&s, a)
	case TermStartDelivered:
		k.deliverStart(&s)
	case TermStartLost:
		s.startTerm, s.startWorker, s.startLeaseLeft = 0, 0, 0
	case TermStop:
		k.stop(&s, a)
	case TermTaskEnd:
		if w.runTerm != 0 {
			w.runTerm, w.endListed, w.expiredSinceEnd = 0, true, false
		}
	case TermRecordEnd:
		if i.term != 0 && i.term == s.term && i.task == taskEnded {
			s.endRecorded = true
		}
	case TermAcknowledgeEnd:
		if i.term != 0 && w.endListed && k.acceptsTerm(w, i.term) && s.reachesWorker(a) && i.task == taskEnded && (s.endRecorded || k.AckBeforeRecord) {
			s.endAcknowledged = s.endAcknowledged || !w.expiredSinceEnd
			w.endListed, w.expiredSinceEnd, w.leaseLeft = false, false, 0
		}
	case TermPartition:
		if w.partitioned || s.partitions < k.MaxPartitions {
			s.partitions += b2u(!w.partitioned)
			w.partitioned = !w.partitioned
		}
	case TermRestart:
		k.restart(&s, a.Worker)
	}
	return s
}

// tick advances time: leases expire, confirmations age, and owners without a recent
// confirmation give up the term.
func (k TermSpec) tick(s *TermState) {
	s.renewalAge = min(s.renewalAge+1, maxAge)
	if s.startTerm != 0 {
		if s.startLeaseLeft--; s.startLeaseLeft == 0 { // workers refuse it from now on
			s.startTerm, s.startWorker = 0, 0
		}
	}
	for n := range s.instance {
		i := &s.instance[n]
		if i.term == 0 {
			continue
		}
		i.confirmationAge, i.silentLeft = min(i.confirmationAge+1, maxAge), max(i.silentLeft, 1)-1
		if i.confirmationAge > ownerGraceTicks && !k.RenewUnconfirmed {
			*i = instanceState{}
		}
	}
	k.tickKeeping(s)
	for n := range s.worker {
		w := &s.worker[n]
		if w.leaseLeft == 0 {
			continue
		}
		w.leaseLeft--
		if w.leaseLeft == 0 {
			w.runTerm, w.expiredSinceEnd = 0, w.endListed
		}
	}
}

// claim takes over the next term if the last renewal of the current one is too old.
// The new owner reads what is durable and asks the workers later.
func (k TermSpec) claim(s *TermState, h uint8) {
	if k.Keeping.Sets != 0 || !s.reachesStore(h) {
		return
	}
	if s.renewalAge < renewalStaleTicks || s.term >= k.MaxTerms || (s.instance[h].term != 0 && s.instance[h].term == s.term) {
		return
	}
	s.term++
	s.owner, s.renewalAge = h, 0
	s.instance[h] = instanceState{term: s.term, taskWorker: noWorker, silentLeft: k.silentWait(0)}
	if s.endRecorded {
		s.instance[h].task = taskEnded
	}
}

// silentWait returns how long a new owner waits for workers that do not answer, if owners of earlier
// terms may renew leases for a time.
func (k TermSpec) silentWait(earlier uint8) uint8 {
	if k.TermsOnly {
		return 0 // bears on starts only
	}
	return max(silentWorkerTicks, earlier+leaseTicks+1)
}

// acceptsTerm says whether a worker accepts an order of a term.
func (k TermSpec) acceptsTerm(w *workerState, term uint8) bool {
	return k.NoFence || term >= w.knownTerm
}

// hold fences a worker, renews its lease and reads its lists.
func (k TermSpec) hold(s *TermState, a Action) {
	i, w, n := &s.instance[a.Host], &s.worker[a.Worker], a.Worker
	if i.term == 0 || !s.reachesWorker(a) {
		return
	}
	if !k.acceptsTerm(w, i.term) {
		*i = instanceState{} // a higher term exists
		return
	}
	w.knownTerm = max(w.knownTerm, i.term)
	if w.runTerm != 0 || w.endListed && !w.expiredSinceEnd {
		w.leaseLeft = leaseTicks
	}
	i.answeredWorkers |= bit(n)
	switch {
	case w.endListed:
		i.task, i.taskWorker = taskEnded, n
	case w.runTerm != 0 && i.task != taskEnded:
		i.task, i.taskWorker, i.startBarred = taskRunning, n, false
	case i.taskWorker == n && i.task == taskRunning, i.taskWorker == n && i.task == taskStartSent && i.startBarred:
		i.task, i.taskWorker, i.startBarred = taskWaiting, noWorker, false
	}
}

// start sends a start once no run of an earlier term can remain undetected.
func (k TermSpec) start(s *TermState, a Action) {
	i := &s.instance[a.Host]
	allAnswered := i.answeredWorkers == bit(0)|bit(1)
	if i.term == 0 || i.task != taskWaiting || (k.startAge(i) > startGraceTicks && !k.StartUnconfirmed) || s.startTerm != 0 {
		return
	}
	if i.answeredWorkers&bit(a.Worker) == 0 || (!allAnswered && i.silentLeft > 0 && !k.NoWait) {
		return
	}
	s.startTerm, s.startWorker, s.startLeaseLeft = i.term, a.Worker, leaseTicks
	i.task, i.taskWorker, i.startBarred = taskStartSent, a.Worker, false
	if k.AssumeStartLost {
		i.task, i.taskWorker = taskWaiting, noWorker
	}
}

// deliverStart delivers the start in flight to its worker.
func (k TermSpec) deliverStart(s *TermState) {
	if s.startTerm == 0 {
		return
	}
	w, term, left := &s.worker[s.startWorker], s.startTerm, s.startLeaseLeft
	s.startTerm, s.startWorker, s.startLeaseLeft = 0, 0, 0
	if !k.acceptsTerm(w, term) || w.runTerm != 0 || term <= w.barredTerm || w.endListed {
		return
	}
	s.restartedAfterEnd = s.restartedAfterEnd || s.endAcknowledged
	for n := range s.worker {
		s.ranTwice = s.ranTwice || s.worker[n].runTerm != 0
	}
	w.runTerm, w.leaseLeft, w.knownTerm = term, left, max(w.knownTerm, term)
}

// stop bars the start of the owner's term at a worker, and ends the run if it has
// begun.
func (k TermSpec) stop(s *TermState, a Action) {
	i, w, n := &s.instance[a.Host], &s.worker[a.Worker], a.Worker
	if i.term == 0 || !s.reachesWorker(a) || i.task != taskStartSent || i.taskWorker != n || !k.acceptsTerm(w, i.term) {
		return
	}
	w.barredTerm = max(w.barredTerm, i.term)
	if w.runTerm != 0 {
		w.runTerm, w.leaseLeft = 0, 0
	}
	i.startBarred = true
}

// restart begins a worker's next incarnation, which knows no term and runs nothing.
// A start in flight is lost with the process to which it was sent. Owners learn of
// the restart from the worker's lists.
func (k TermSpec) restart(s *TermState, n uint8) {
	if s.restarts >= k.MaxRestarts {
		return
	}
	s.restarts++
	s.worker[n] = workerState{partitioned: s.worker[n].partitioned}
	if s.startTerm != 0 && s.startWorker == n {
		s.startTerm, s.startWorker, s.startLeaseLeft = 0, 0, 0
	}
	for h := range s.instance {
		i := &s.instance[h]
		if i.taskWorker == n && (i.task == taskStartSent || i.task == taskRunning) {
			i.task, i.taskWorker, i.startBarred = taskWaiting, noWorker, false
		}
	}
}
