// Package ledger answers for the request keys of the key groups that one
// scheduler owns. It starts non-idempotent work at most once, joins repeats to
// the first attempt, and says not_run only with proof.
package ledger
