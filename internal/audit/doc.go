// Package audit keeps the audit trail of the configuration: every change that
// was accepted, refused or in conflict, with its author, time, reason and
// content. The trail is stored on the log, rewritten before its records expire,
// and read from a bounded copy in memory.
package audit
