// Package frame is the encoding of what travels on a link: one CBOR array in
// each binary WebSocket message.
package frame
