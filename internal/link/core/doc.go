// Package core implements the protocol of a link as deterministic state machines:
// Dialer for the calling side and Acceptor for the answering side. They number
// calls, split messages into frames and reassemble them, check heartbeats and
// decide how each open call ends. They use no goroutine, clock or socket; package
// link passes them events and performs the actions that they return.
package core
