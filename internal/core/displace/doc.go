// Package displace decides whether a gang that waits for room may stop other runs to
// get it. This is in addition to the preemption by which urgent work gets its guarantee.
//
// Load pattern: a burst of urgent work fills the pool and preempts gangs of the middle
// priority. As room becomes free, tasks of the lowest priority fill each gap at once, so
// that the gangs wait until long after their objective while those tasks end with time
// to spare.
//
// The package has only plain functions on values, without clock, goroutine or log.
package displace
