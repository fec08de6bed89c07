// Package core is the parent of the decision cores. Each is a deterministic
// state machine: Step takes the time and one event and gives the actions that a
// shell then carries out. A core has no goroutine, clock, socket, random source
// or log, and the order of a map never reaches an action.
package core
