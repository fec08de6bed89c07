// Package limits holds the small deterministic parts that keep load in bounds:
// rates, concurrency, retry budgets and backoff. Time and random sources come in with each call. None of the types is
// safe for concurrent use.
package limits
