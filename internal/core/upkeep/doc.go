// Package upkeep decides when the machines of a wave have their upkeep (planned
// maintenance). Each machine has it once; idle machines come first, the number of
// machines that are down at once is limited, and the wave should end in its time.
//
// Core is a deterministic state machine without clock, socket, goroutine or log.
package upkeep
