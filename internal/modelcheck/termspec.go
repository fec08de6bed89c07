package modelcheck

// The verbs of the term specification.
const (
	TermTick Verb = iota + 100
	TermClaim
	TermRenew
	TermHold
	TermStart
	TermArrive
	TermLose
	TermStop
	TermFinish
	TermRecord
	TermAck
	TermCut
	TermRestart
)

var termVerbNames = [...]string{
	"tick", "claim", "renew", "hold", "start", "start arrives", "start lost", "stop", "task ends",
	"end recorded", "end acknowledged", "worker cut or healed", "worker restarts",
}

// TermSpec is the specification of terms, take-overs and single runs.
type TermSpec struct {
	Terms    uint8
	Restarts uint8
	Cuts     uint8
	// NoFence lets workers take orders of earlier terms.
	NoFence bool
	// NoWait lets a new owner start before silent workers' leases have lapsed.
	NoWait bool
	// AckFirst acknowledges ends that are not recorded.
	AckFirst bool
	// NoDoubt takes a start without an answer for one that did not happen.
	NoDoubt bool
	// NoGrace lets an owner renew leases however old its proof is.
	NoGrace bool
	// LateStarts lets an owner start tasks however old its proof is.
	LateStarts bool
}

// First gives the state in which nobody owns the cell.
func (k TermSpec) First() TermState { return TermState{age: termStale} }

// Steps adds every way on.
func (k TermSpec) Steps(s TermState, out []Step[TermState]) []Step[TermState] {
	for v := TermTick; v <= TermRestart; v++ {
		for h := range uint8(instances) {
			for w := range uint8(termWorkers) {
				a := Action{Verb: v, Host: h, Worker: w}
				if n := k.Do(s, a); n != s {
					out = append(out, Step[TermState]{a, n})
				}
			}
		}
	}
	return out
}

// Check gives the invariant that is broken.
func (k TermSpec) Check(s TermState) string {
	switch {
	case s.twice:
		return "two runs of a task at once"
	case s.again:
		return "a task started again after its end was acknowledged"
	}
	return ""
}

// The traps of the term specification.
const (
	TrapTwoOwners    = "an earlier owner goes on beside a later one"
	TrapSilentWorker = "a new owner meets a silent worker that runs the task"
	TrapEarlierStart = "a start of an earlier term is under way"
	TrapAdopted      = "a new owner finds the task running"
	TrapNewLife      = "a worker that knows no term meets an earlier owner"
)

// Traps names the traps that a state is in.
func (k TermSpec) Traps(s TermState, hit func(string)) {
	if s.inst[0].term != 0 && s.inst[1].term != 0 {
		hit(TrapTwoOwners)
	}
	if s.flight != 0 && s.flight < s.term {
		hit(TrapEarlierStart)
	}
	for _, i := range s.inst {
		if i.term == 0 {
			continue
		}
		for w, ws := range s.worker {
			if ws.cut && ws.run != 0 && ws.run < i.term && i.heard&bit(uint8(w)) == 0 {
				hit(TrapSilentWorker)
			}
			if i.task == taskSeen && ws.run != 0 && ws.run < i.term && i.on == uint8(w) {
				hit(TrapAdopted)
			}
			if s.restarts > 0 && ws.fence == 0 && i.term < s.term {
				hit(TrapNewLife)
			}
		}
	}
}
