// Package logstore is a stand-in for the platform's append-only log service:
// streams with offsets, a cap on appends, retention by time, and outages.
package logstore
