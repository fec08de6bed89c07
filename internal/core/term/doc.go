// Package term elects the owner of a cell. Ownership is one record in the store:
// the instance that appends the record of the next term, on the condition that
// nothing else was appended in between, owns the cell, and renews its record on the
// same condition.
//
// Core is a deterministic state machine: Step takes the time and an event and
// returns actions. It has no clock, socket, goroutine or log.
package term
