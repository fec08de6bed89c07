package cellplay

import "slices"

// Ranking is a way to rank jobs for placement. Each ranking but the standard one
// removes priorities or guarantees from the trace, so that the same core decides
// under all of them.
type Ranking struct {
	Name  string
	apply func(*Trace)
}

// Rankings returns the product's ranking and the baselines.
func Rankings() []Ranking {
	return []Ranking{
		{Name: "standard", apply: func(*Trace) {}},
		{Name: "no-guarantees", apply: withoutGuarantees},
		{Name: "one-class", apply: oneClass},
	}
}

// withoutGuarantees removes the accounts' guarantees, so that urgent jobs preempt a
// run only if the loss is smaller than the gain.
func withoutGuarantees(t *Trace) {
	for i := range t.Policy.Accounts {
		t.Policy.Accounts[i].GuaranteedGPU = 0
	}
}

// oneClass gives all jobs the same priority: none is preempted, and the job that is
// due first starts first.
func oneClass(t *Trace) {
	for i := range t.Jobs {
		t.Jobs[i].Job.Queue.Priority = 1
	}
}

// applyTo returns a copy of the trace that is changed as the ranking requires.
func (r Ranking) applyTo(t Trace) Trace {
	t.Jobs = slices.Clone(t.Jobs)
	t.Policy.Accounts = slices.Clone(t.Policy.Accounts)
	r.apply(&t)
	return t
}
