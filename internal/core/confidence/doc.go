// Package confidence decides, at a witness of a term, whether the term's owner still serves its
// peers, and when this witness votes against it.
//
// Load pattern: an owner whose path to its peers is cut, that hardly gets processor time or whose
// state is locked goes on renewing its record in the store. Callers of other instances are told
// nothing of their jobs for as long as that lasts.
//
// Core is a deterministic state machine: Step takes the time and an event and returns actions. It
// has no clock, socket, goroutine or log.
package confidence
