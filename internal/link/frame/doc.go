// Package frame encodes and decodes the frames of a link. Each is one CBOR array
// in a binary WebSocket message.
package frame
