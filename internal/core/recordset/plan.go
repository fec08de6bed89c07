package recordset

import "coltsfootmux/internal/external"

// Item is what is written as a whole or not at all: the records of a job's progress, or the roster.
type Item struct {
	// Key is the key of the item's first record.
	Key     string
	Records []external.Record
}

// Result is what came of a step of a plan.
type Result int

// The results.
const (
	// Failed means that the step has to be repeated.
	Failed Result = iota
	// Written means that the records are durable.
	Written
	// Refused means that the store refuses the records as invalid, now and later.
	Refused
)

// Step is what a plan asks for next: one append of the items, or of a record that the store has
// taken before, if there are no items.
type Step struct {
	// Number tells the appends of a plan apart. A step that is repeated keeps its number.
	Number int
	Items  []Item
}

// Records returns the records of the step's items.
func (s Step) Records() []external.Record {
	var out []external.Record
	for _, i := range s.Items {
		out = append(out, i.Records...)
	}
	return out
}

// Plan writes items in order, each append as large as the store takes. If the store refuses an
// append, the plan finds the items that are at fault: it halves the append, and takes an item for
// refused if the store refuses this item alone before and after it takes another record. The
// others are written all the same.
type Plan struct {
	steps   []Step
	numbers int
	// probing is set while the store is asked whether it takes anything, suspect once it has
	// refused the first item of steps and taken another record.
	probing bool
	suspect bool
	refused []string
}

// NewPlan returns the plan for the items of a batch.
func NewPlan(l external.StoreLimits, items []Item) *Plan {
	p := &Plan{}
	for _, group := range pack(l, items, func(i Item) int { return external.AppendSize(i.Records) }) {
		p.steps = append(p.steps, p.step(group))
	}
	return p
}

func (p *Plan) step(items []Item) Step {
	p.numbers++
	return Step{Number: p.numbers, Items: items}
}

// Next returns the next step; ok is false once there is none.
func (p *Plan) Next() (s Step, ok bool) {
	switch {
	case len(p.steps) == 0:
		return Step{}, false
	case p.probing:
		return Step{Number: -p.steps[0].Number}, true
	}
	return p.steps[0], true
}

// Answered takes in the result of the step that Next returned last. It reports whether the store
// refuses even what it has taken before, so that no item is at fault.
func (p *Plan) Answered(r Result) (refusesAll bool) {
	if r == Failed {
		return false
	}
	if p.probing {
		p.probing, p.suspect = false, r == Written
		return r == Refused
	}
	s := p.steps[0]
	first, second, ok := HalveList(s.Items)
	switch {
	case r == Written:
		p.next()
	case ok:
		p.steps = append([]Step{p.step(first), p.step(second)}, p.steps[1:]...)
	case p.suspect:
		p.refused = append(p.refused, s.Items[0].Key)
		p.next()
	default:
		p.probing = true
	}
	return false
}

// next goes on to the next step.
func (p *Plan) next() { p.steps, p.suspect = p.steps[1:], false }

// RefusedKeys returns the keys of the items that the store has refused.
func (p *Plan) RefusedKeys() []string { return p.refused }
