// Package queue orders the work that waits for room.
//
// Load pattern: a full pool in which hundreds of tasks wait. Work within an account's
// guarantee comes first, so that no burst of others keeps it waiting; within a
// priority, work that is of no more use makes way for what can still be in time.
//
// It is plain functions on values, without clock, goroutine or log.
package queue
