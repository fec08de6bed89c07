// Package logstore is a stand-in for the platform's append-only log service:
// streams with offsets, a limit on the append rate, retention by time, and outages.
package logstore
