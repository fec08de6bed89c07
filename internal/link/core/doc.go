// Package core holds the decisions of a link as deterministic state machines:
// Dialer for the side that calls and Acceptor for the side that answers. They
// number and cut up messages, put them together again, watch heartbeats and say
// how each open call ends. They hold no goroutine, clock or socket.
package core
