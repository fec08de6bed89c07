// Package displace decides whether work that waits for room may stop other work
// for it, beside the urgent work's right to its guarantee.
//
// Load pattern: a burst of urgent work fills the pool and displaces gangs of the
// middle priority; as room comes free, tasks of the lowest priority take each gap as
// it opens, so that the gangs wait until long after their objective while that work
// ends with time to spare.
//
// It is plain functions on values, without clock, goroutine or log.
package displace
