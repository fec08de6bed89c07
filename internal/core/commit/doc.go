// Package commit decides how one record of a job is written to the store when this
// process may be cut off from it: over its own connection or through a peer, when to
// repeat an unanswered attempt, and what is known of the record at the deadline.
//
// Load patterns: a store that answers many times slower than usual, whose queue must
// not be lengthened by further appends; lost answers, where the owner of the cell has
// read the record although the process that wrote it got no answer; machines that the
// store refuses to serve.
//
// The record may be appended any number of times, so attempts may overlap. Core is a
// deterministic state machine without clock, socket, goroutine or log.
package commit
