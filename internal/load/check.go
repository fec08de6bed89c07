package load

import "coltsfootmux/internal/model"

// StartCounter tells how often each member of a key was started on any worker.
type StartCounter interface {
	// Starts gives the number of starts of the key's member.
	Starts(k model.Key, member int) int
}

// Check compares the answers with what really ran, and counts non-idempotent
// work that ran more than once and work said not to have run that did.
func (t *Tally) Check(runs StartCounter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.answers {
		most := 0
		for m := range max(1, a.Members) {
			most = max(most, runs.Starts(a.Key, m))
		}
		if !a.Idempotent && most > 1 {
			t.rows[a.Kind].Doubled++
		}
		if !a.Lost && a.Outcome == model.OutcomeNotRun && most > 0 {
			t.rows[a.Kind].Untrue++
		}
	}
}

// Violations counts the promises broken: doubled, lost and untrue answers.
func (r Row) Violations() int { return r.Doubled + r.Lost + r.Untrue }
