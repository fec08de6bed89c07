// Package logclient writes to and reads from the platform's log service for one
// process. It carries the decisions of package journal out: group commit inside
// a budget of appends, settling of lost answers, reading on through outages.
package logclient
