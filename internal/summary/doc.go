// Package summary keeps copies of one scheduler's cells at its peers. The sender
// remembers when each cell last changed and sends a peer only what has changed
// since the state that the peer acknowledged; a peer that acknowledged nothing
// gets the full state. Each message carries a checksum over the state that it
// leads to. The package is deterministic and not safe for concurrent use.
package summary
