// Package settings decides which configuration is in force. Records on one
// stream of the log change it; each names the version it is based on, and the
// first in log order on top of the current version wins. Every reader of the
// stream comes to the same history. Snapshots let a reader start in the middle
// of the stream, and updates from other hosts bring a version to a host that
// can't read the log.
//
// Readers check only that a change can be applied. Whether the result is a valid
// document is checked before it is appended, because the checks may differ
// between program versions and the history must not.
package settings
