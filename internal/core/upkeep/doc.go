// Package upkeep decides when the machines of a wave have their upkeep: each
// once, so many at a time, within the wave's time, idle ones first.
//
// It is a deterministic state machine without clock, socket, goroutine or log.
package upkeep
