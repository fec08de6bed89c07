// Package instance runs one process of the system: it takes jobs in from
// callers, follows the policy, and owns the cell while it holds the term.
//
// It carries events to the cores (core/term, core/cell) and their actions out,
// and decides nothing itself. What has to last is written to the store before
// anybody is told: a job before its caller, progress before its worker.
package instance
