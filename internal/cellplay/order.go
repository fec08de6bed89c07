package cellplay

import "slices"

// Ranking is a way to rank the work. Each takes from the queues or accounts what
// the cell ranks by, so that the same core decides under all of them.
type Ranking struct {
	Name  string
	apply func(*Trace)
}

// Rankings gives the product's order and the baselines.
func Rankings() []Ranking {
	return []Ranking{
		{Name: "standard", apply: func(*Trace) {}},
		{Name: "no-guarantees", apply: withoutGuarantees},
		{Name: "one-class", apply: oneClass},
	}
}

// withoutGuarantees lets urgent work preempt only what loses less than it brings.
func withoutGuarantees(t *Trace) {
	for i := range t.Policy.Accounts {
		t.Policy.Accounts[i].GuaranteedGPU = 0
	}
}

// oneClass ranks all work alike: nothing is preempted, and what is due first
// starts first.
func oneClass(t *Trace) {
	for i := range t.Jobs {
		t.Jobs[i].Job.Queue.Priority = 1
	}
}

// under gives a copy of a trace as the order has it.
func (o Ranking) under(t Trace) Trace {
	t.Jobs = slices.Clone(t.Jobs)
	t.Policy.Accounts = slices.Clone(t.Policy.Accounts)
	o.apply(&t)
	return t
}
