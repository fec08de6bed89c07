// Package wire holds the typed messages that the system's processes exchange
// over a link. They are encoded with CBOR under integer keys.
package wire
