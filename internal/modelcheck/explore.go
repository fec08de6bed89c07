package modelcheck

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is one state of a specification.
type State interface {
	comparable
	// Append adds the state's bytes, which are equal for equal states only.
	Append(b []byte) []byte
}

// Transition is one way on from a state.
type Transition[S State] struct {
	Action Action
	Next   S
}

// Spec is a specification: its first state, the ways on, and what must hold.
type Spec[S State] interface {
	Initial() S
	// Steps adds every way on from a state.
	Transitions(s S, out []Transition[S]) []Transition[S]
	// Check gives the invariant that a state breaks, or "".
	Check(s S) string
	// Scenarios names the noteworthy situations that a state is in.
	Scenarios(s S, hit func(trap string))
}

// Report is what an exploration found.
type Report struct {
	States      int
	Transitions int
	Depth       int
	// Complete says that every reachable state was seen.
	Complete bool
	Duration time.Duration
	// Violation is the first invariant found broken, and Trace the shortest way to it.
	Violation string
	Trace     []Action
	// Scenarios counts the states in each trap, and TrapTraces holds the shortest way.
	Scenarios      map[string]int
	ScenarioTraces map[string][]Action
}

// String gives the figures in one line.
func (r Report) String() string {
	return fmt.Sprintf("%d states, %d steps, depth %d, whole %v, %s",
		r.States, r.Transitions, r.Depth, r.Complete, r.Duration.Round(time.Millisecond))
}

// explorer walks breadth first. States are told apart by a 64-bit hash: among a
// hundred million states the chance of any collision is about 0.0003.
type explorer[S State] struct {
	spec   Spec[S]
	limit  int
	seen   map[uint64]struct{}
	parent []int32
	action []Action
	report Report
	buf    []byte
}

// node is a state whose ways on are still to be walked.
type node[S State] struct {
	state S
	id    int32
}

// Explore walks a specification until it is whole, a limit of states is reached,
// or an invariant breaks.
func Explore[S State](spec Spec[S], limit int) Report {
	began := time.Now()
	e := &explorer[S]{spec: spec, limit: limit, seen: make(map[uint64]struct{})}
	e.report.Scenarios = make(map[string]int)
	e.report.ScenarioTraces = make(map[string][]Action)
	e.walk()
	e.report.States = len(e.seen)
	e.report.Duration = time.Since(began)
	return e.report
}

func (e *explorer[S]) walk() {
	var level, next []node[S]
	e.visit(e.spec.Initial(), Action{}, -1, &level)
	var steps []Transition[S]
	for len(level) > 0 && e.report.Violation == "" {
		e.report.Depth++
		next = next[:0]
		for _, n := range level {
			steps = e.spec.Transitions(n.state, steps[:0])
			e.report.Transitions += len(steps)
			for _, st := range steps {
				e.visit(st.Next, st.Action, n.id, &next)
				if e.report.Violation != "" {
					return
				}
			}
			if len(e.seen) >= e.limit {
				return
			}
		}
		level, next = next, level
	}
	e.report.Complete = true
}

func (e *explorer[S]) visit(s S, a Action, parent int32, out *[]node[S]) {
	e.buf = s.Append(e.buf[:0])
	h := xxhash.Sum64(e.buf)
	if _, ok := e.seen[h]; ok {
		return
	}
	e.seen[h] = struct{}{}
	id := int32(len(e.parent))
	e.parent = append(e.parent, parent)
	e.action = append(e.action, a)
	e.spec.Scenarios(s, func(trap string) {
		if e.report.Scenarios[trap]++; e.report.Scenarios[trap] == 1 {
			e.report.ScenarioTraces[trap] = e.trace(id)
		}
	})
	if broken := e.spec.Check(s); broken != "" {
		e.report.Violation, e.report.Trace = broken, e.trace(id)
		return
	}
	*out = append(*out, node[S]{s, id})
}

func (e *explorer[S]) trace(id int32) []Action {
	var back []Action
	for ; id > 0; id = e.parent[id] {
		back = append(back, e.action[id])
	}
	for i, j := 0, len(back)-1; i < j; i, j = i+1, j-1 {
		back[i], back[j] = back[j], back[i]
	}
	return back
}
