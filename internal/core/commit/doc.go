// Package commit decides how one record gets into the store when this process
// may be cut off from it: over its own connection or over a peer's, again when
// an answer stays out, and what may be said when the time is up.
//
// The record may be appended any number of times, so tries may overlap. It is a
// deterministic state machine without clock, socket, goroutine or log.
package commit
