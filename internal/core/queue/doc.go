// Package queue orders the tasks that wait for room.
//
// Load pattern: a full pool in which hundreds of tasks wait. Work within an account's
// guarantee comes first, so that a burst of other work does not delay it. Within a
// priority, work whose completion is of no use any more comes after work that can still
// be in time.
//
// The package has only plain functions on values, without clock, goroutine or log.
package queue
