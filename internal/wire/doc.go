// Package wire defines the messages that the system's processes exchange over
// a link. They are encoded as CBOR maps with integer keys.
package wire
