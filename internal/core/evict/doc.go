// Package evict decides which runs make room for urgent work, and which of them are left
// to end by themselves.
//
// Load pattern: urgent gangs arrive in bursts over a pool that is full of less urgent
// work. A tenth of all runs is stopped for them. A stop takes up to 0.9 s, in which the
// room is of no use to anyone, and the stopped run loses what it has not saved and the
// time of its restore. Many of the runs beside it would have ended as soon as the stop.
//
// The package has only plain functions and values, without clock, goroutine or log.
package evict
