// Package storetime keeps how long the store takes for a call of late, so that
// waits for its answers follow what it does: a store that is 70 times slower
// than usual still answers, and a second call only lengthens its queue.
//
// It is a plain value without clock, goroutine or log.
package storetime
