// Package audit keeps the trail of changes to the configuration: every
// accepted, refused and conflicting one, with who made it, when, why and what
// it changed. The trail lives on the log, is written again before the log
// forgets it, and is read from a bounded copy in memory.
package audit
