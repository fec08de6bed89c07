package modelcheck

// The size of the term specification: two instances that want one cell, two
// workers, and one task that must run once.
const (
	instances   = 2
	termWorkers = 2
	noWorker    = termWorkers
)

// The times of the term specification, in ticks.
const (
	// termStale is the age of a renewal from which on others claim.
	termStale = 2
	// termStartGrace is the age of a proof up to which an owner starts tasks.
	termStartGrace = 1
	// termGrace is the age of a proof up to which an owner renews leases.
	termGrace = 3
	termLease = 2
	// termSilent is the wait for a worker that does not answer a new owner.
	termSilent = termGrace - termStale + termLease + 1
	ageMax     = termSilent + 1
)

// belief is what an owner takes the task for.
type belief uint8

const (
	taskWaiting belief = iota
	// taskOrdered was sent to a worker; it may run there or yet arrive.
	taskOrdered
	// taskSeen is listed by a worker as running.
	taskSeen
	// taskEnded is known to have ended.
	taskEnded
)

// instanceState is one instance.
type instanceState struct {
	// term is the one that it takes itself to own, 0 for none.
	term uint8
	// proof is the age of its last proof, since that of its take-over.
	proof uint8
	since uint8
	// heard has a bit for each worker that has answered a hold of this term.
	heard uint8
	task  belief
	on    uint8
	// stopped says that the ordered run has been barred at its worker.
	stopped bool
}

// workerState is one worker.
type workerState struct {
	fence uint8
	// run is the term under which the task was started here, 0 for none.
	run   uint8
	lease uint8
	// ended says that the worker lists the task's end, lapsed that its lease has
	// lapsed since: a start elsewhere in between is allowed then.
	ended  bool
	lapsed bool
	barred uint8
	cut    bool
}

// TermState is a state of the term specification.
type TermState struct {
	inst   [instances]instanceState
	worker [termWorkers]workerState
	// term is the newest in the store, owner its owner, age that of its renewal.
	term  uint8
	owner uint8
	age   uint8
	// flight is a start under way: its term and worker, and the ticks until the
	// lease that it carries ends; 0 for none.
	flight     uint8
	flightTo   uint8
	flightLeft uint8
	// recorded says that the task's end is durable, acked that a worker was told.
	recorded bool
	acked    bool
	restarts uint8
	cuts     uint8
	// twice and again are what must not happen.
	twice bool
	again bool
}

// Append encodes the state.
func (s TermState) Append(b []byte) []byte {
	for _, i := range s.inst {
		b = append(b, i.term|i.proof<<4, i.since|i.heard<<4, uint8(i.task)|i.on<<3|b2u(i.stopped)<<6)
	}
	for _, w := range s.worker {
		b = append(b, w.fence|w.run<<4, w.lease|w.barred<<4, b2u(w.ended)|b2u(w.cut)<<1|b2u(w.lapsed)<<2)
	}
	b = append(b, s.term|s.owner<<4|s.age<<5, s.flight|s.flightTo<<4|s.flightLeft<<5)
	return append(b, b2u(s.recorded)|b2u(s.acked)<<1|b2u(s.twice)<<2|b2u(s.again)<<3, s.restarts|s.cuts<<4)
}
