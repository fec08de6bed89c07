package load

import "coltsfootmux/internal/model"

// StartCounter tells how often each member of a request or job was started on any
// worker.
type StartCounter interface {
	// Starts returns the number of starts of the key's member.
	Starts(k model.Key, member int) int
}

// Check compares the answers with the starts on the workers. It counts
// non-idempotent requests that were started more than once, and requests that were
// started although their outcome is not_run.
func (t *Tally) Check(starts StartCounter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.answers {
		maxStarts := 0
		for m := range max(1, a.Members) {
			maxStarts = max(maxStarts, starts.Starts(a.Key, m))
		}
		if !a.Idempotent && maxStarts > 1 {
			t.rows[a.Kind].Doubled++
		}
		if !a.Lost && a.Outcome == model.OutcomeNotRun && maxStarts > 0 {
			t.rows[a.Kind].Untrue++
		}
	}
}

// Violations returns the number of broken guarantees: double starts, lost outcomes
// and false not_run outcomes.
func (r Row) Violations() int { return r.Doubled + r.Lost + r.Untrue }
