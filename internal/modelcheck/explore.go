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

// Step is one way on from a state.
type Step[S State] struct {
	Action Action
	Next   S
}

// Spec is a specification: its first state, the ways on, and what must hold.
type Spec[S State] interface {
	First() S
	// Steps adds every way on from a state.
	Steps(s S, out []Step[S]) []Step[S]
	// Check gives the invariant that a state breaks, or "".
	Check(s S) string
	// Traps names the noteworthy situations that a state is in.
	Traps(s S, hit func(trap string))
}

// Report is what an exploration found.
type Report struct {
	States int
	Steps  int
	Depth  int
	// Whole says that every reachable state was seen.
	Whole bool
	Took  time.Duration
	// Broken is the first invariant found broken, and Trace the shortest way to it.
	Broken string
	Trace  []Action
	// Traps counts the states in each trap, and TrapTraces holds the shortest way.
	Traps      map[string]int
	TrapTraces map[string][]Action
}

// String gives the figures in one line.
func (r Report) String() string {
	return fmt.Sprintf("%d states, %d steps, depth %d, whole %v, %s",
		r.States, r.Steps, r.Depth, r.Whole, r.Took.Round(time.Millisecond))
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
	e.report.Traps = make(map[string]int)
	e.report.TrapTraces = make(map[string][]Action)
	e.walk()
	e.report.States = len(e.seen)
	e.report.Took = time.Since(began)
	return e.report
}

func (e *explorer[S]) walk() {
	var level, next []node[S]
	e.visit(e.spec.First(), Action{}, -1, &level)
	var steps []Step[S]
	for len(level) > 0 && e.report.Broken == "" {
		e.report.Depth++
		next = next[:0]
		for _, n := range level {
			steps = e.spec.Steps(n.state, steps[:0])
			e.report.Steps += len(steps)
			for _, st := range steps {
				e.visit(st.Next, st.Action, n.id, &next)
				if e.report.Broken != "" {
					return
				}
			}
			if len(e.seen) >= e.limit {
				return
			}
		}
		level, next = next, level
	}
	e.report.Whole = true
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
	e.spec.Traps(s, func(trap string) {
		if e.report.Traps[trap]++; e.report.Traps[trap] == 1 {
			e.report.TrapTraces[trap] = e.trace(id)
		}
	})
	if broken := e.spec.Check(s); broken != "" {
		e.report.Broken, e.report.Trace = broken, e.trace(id)
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
