package modelcheck

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is one state of a specification.
type State interface {
	comparable
	// Append appends an encoding of the state that is different for different
	// states.
	Append(b []byte) []byte
}

// Transition is an action and the state that it leads to.
type Transition[S State] struct {
	Action Action
	Next   S
}

// Spec is a specification: the initial state, the transitions and the invariants.
type Spec[S State] interface {
	Initial() S
	// Transitions appends all transitions from a state.
	Transitions(s S, out []Transition[S]) []Transition[S]
	// Check returns the invariant that a state violates, or "".
	Check(s S) string
	// Scenarios reports the scenarios that a state is in: rare situations that the
	// exploration must reach to be meaningful.
	Scenarios(s S, report func(scenario string))
}

// Report is the result of an exploration.
type Report struct {
	States      int
	Transitions int
	Depth       int
	// Complete says that every reachable state was visited.
	Complete bool
	Duration time.Duration
	// Violation is the first invariant found violated, and Trace a shortest sequence
	// of actions that violates it.
	Violation string
	Trace     []Action
	// Scenarios counts the states in each scenario. ScenarioTraces holds a shortest
	// sequence of actions to each.
	Scenarios      map[string]int
	ScenarioTraces map[string][]Action
}

// String returns the figures in one line.
func (r Report) String() string {
	return fmt.Sprintf("%d states, %d transitions, depth %d, complete %v, %s",
		r.States, r.Transitions, r.Depth, r.Complete, r.Duration.Round(time.Millisecond))
}

// explorer does a breadth-first search. It identifies states by a 64-bit hash: for a
// hundred million states the probability of any collision is about 0.0003.
type explorer[S State] struct {
	spec    Spec[S]
	limit   int
	visited map[uint64]struct{}
	parent  []int32
	action  []Action
	report  Report
	buf     []byte
}

// node is a state whose transitions have not been explored yet.
type node[S State] struct {
	state S
	id    int32
}

// Explore explores a specification until every reachable state was visited, the
// limit of states is reached, or an invariant is violated.
func Explore[S State](spec Spec[S], limit int) Report {
	start := time.Now()
	e := &explorer[S]{spec: spec, limit: limit, visited: make(map[uint64]struct{})}
	e.report.Scenarios = make(map[string]int)
	e.report.ScenarioTraces = make(map[string][]Action)
	e.walk()
	e.report.States = len(e.visited)
	e.report.Duration = time.Since(start)
	return e.report
}

func (e *explorer[S]) walk() {
	var level, next []node[S]
	e.visit(e.spec.Initial(), Action{}, -1, &level)
	var transitions []Transition[S]
	for len(level) > 0 && e.report.Violation == "" {
		e.report.Depth++
		next = next[:0]
		for _, n := range level {
			transitions = e.spec.Transitions(n.state, transitions[:0])
			e.report.Transitions += len(transitions)
			for _, t := range transitions {
				e.visit(t.Next, t.Action, n.id, &next)
				if e.report.Violation != "" {
					return
				}
			}
			if len(e.visited) >= e.limit {
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
	if _, ok := e.visited[h]; ok {
		return
	}
	e.visited[h] = struct{}{}
	id := int32(len(e.parent))
	e.parent = append(e.parent, parent)
	e.action = append(e.action, a)
	e.spec.Scenarios(s, func(scenario string) {
		if e.report.Scenarios[scenario]++; e.report.Scenarios[scenario] == 1 {
			e.report.ScenarioTraces[scenario] = e.traceTo(id)
		}
	})
	if violation := e.spec.Check(s); violation != "" {
		e.report.Violation, e.report.Trace = violation, e.traceTo(id)
		return
	}
	*out = append(*out, node[S]{s, id})
}

func (e *explorer[S]) traceTo(id int32) []Action {
	var out []Action
	for ; id > 0; id = e.parent[id] {
		out = append(out, e.action[id])
	}
	for i, j := 0, len(out)-1; i < j; i, j = i+1, j-1 {
		out[i], out[j] = out[j], out[i]
	}
	return out
}
