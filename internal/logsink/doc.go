// Package logsink keeps logging bounded: lines are written by a goroutine of
// their own behind a queue, so that a slow reader of the output never blocks
// the program, and each numbered event has a rate of its own. What is left out
// is counted and said in the next line that is written.
package logsink
