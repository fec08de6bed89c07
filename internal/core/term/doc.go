// Package term decides who owns a cell. Ownership is one record in the store:
// whoever appends the next term on the condition that nothing was appended
// since owns the cell, and renews its record on the same condition.
//
// It is a deterministic state machine: Step takes an instant and an event and
// gives actions. It has no clock, socket, goroutine or log.
package term
