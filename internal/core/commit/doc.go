// Package commit decides how one record of a job gets into the store when this
// process may be cut off from it: over its own connection or over a peer's, again
// when an answer stays out, and what may be said when the time is up.
//
// Load patterns: a store that answers many times slower than usual, whose queue
// must not be lengthened by further appends; lost answers, where the cell's owner
// has read what the caller's process was not told of; machines that the store
// turns away.
//
// The record may be appended any number of times, so tries may overlap. It is a
// deterministic state machine without clock, socket, goroutine or log.
package commit
