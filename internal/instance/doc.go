// Package instance runs one process of the system. It accepts jobs from callers and
// follows the operators' policy, and while it holds the term it owns the cell.
// It passes events to the decision cores (core/term, core/cell) and carries out the
// actions that they return; it decides nothing itself. State that must survive is
// written to the store before anybody learns of it: a job before its caller is
// answered, the end of a run before it is acknowledged to its worker.
package instance
