package modelcheck

// The scenarios that an exploration of the term specification must reach.
const (
	ScenarioTwoOwners      = "an earlier owner continues beside a later one"
	ScenarioSilentWorker   = "a new owner can't reach a worker that runs the task"
	ScenarioEarlierStart   = "a start of an earlier term is in flight"
	ScenarioAdoptedRun     = "a new owner finds the task running"
	ScenarioNewIncarnation = "an earlier owner can reach a restarted worker that knows no term"
	ScenarioKeptTerm       = "an owner keeps its term by promises, longer than its renewals allow"
	ScenarioTwoSets        = "an owner keeps its term by promises of two sets, as it does not know which is stored"
	ScenarioSlowClaim      = "a claim is under way for longer than a record takes to become stale"
	ScenarioConsentGiven   = "a claim has its consents and the owner asks for promises"
	ScenarioKeepLimit      = "claims need no consent any more and the owner still renews leases"
	ScenarioIsland         = "an owner keeps its term by promises on an island without the store"
)

// Scenarios reports the scenarios that a state is in.
func (k TermSpec) Scenarios(s TermState, report func(string)) {
	if s.instance[0].term != 0 && s.instance[1].term != 0 {
		report(ScenarioTwoOwners)
	}
	if s.startTerm != 0 && s.startTerm < s.term {
		report(ScenarioEarlierStart)
	}
	k.keepingScenarios(s, report)
	for _, i := range s.instance {
		if i.term == 0 {
			continue
		}
		for w, ws := range s.worker {
			if ws.partitioned && ws.runTerm != 0 && ws.runTerm < i.term && i.answeredWorkers&bit(uint8(w)) == 0 {
				report(ScenarioSilentWorker)
			}
			if i.task == taskRunning && ws.runTerm != 0 && ws.runTerm < i.term && i.taskWorker == uint8(w) {
				report(ScenarioAdoptedRun)
			}
			if s.restarts > 0 && ws.knownTerm == 0 && i.term < s.term {
				report(ScenarioNewIncarnation)
			}
		}
	}
}

// keepingScenarios reports the scenarios of keeping that a state is in.
func (k TermSpec) keepingScenarios(s TermState, report func(string)) {
	v := &s.keeping
	for h, i := range s.instance {
		if c := v.claim[h]; c.phase == writeSent && c.age > renewalStaleTicks {
			report(ScenarioSlowClaim)
		}
		if i.term == 0 || i.confirmationAge >= i.keeping.storedAge {
			continue
		}
		report(ScenarioKeptTerm)
		if v.split == splitIsland && h == 0 {
			report(ScenarioIsland)
		}
		for n, w := range v.renewal[h] {
			if w.phase != writeNone && i.keeping.storedSet != uint8(n+1) {
				report(ScenarioTwoSets)
			}
		}
		if i.term == s.term && s.renewalAge >= startLimitTicks+renewalStaleTicks {
			report(ScenarioKeepLimit)
		}
		if i.term == s.term && v.consented != 0 {
			report(ScenarioConsentGiven)
		}
	}
}
