// Package logsink bounds the cost of logging. A separate goroutine writes the
// lines from a queue, so that a slow reader of the output never blocks the program,
// and each numbered event has its own rate limit. Lines that are left out are
// counted, and the next line that is written reports their number.
package logsink
