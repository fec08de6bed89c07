package settings

import (
	"time"

	"coltsfootmux/internal/config"
)

// The types of records on the configuration stream.
const (
	TypeChange   = "config.change"
	TypeSnapshot = "config.snapshot"
)

// Record asks for a new version of the configuration.
type Record struct {
	// ID names the record; a repeated append carries the same one.
	ID string `cbor:"1,keyasint"`
	// Base is the version that the change was made on.
	Base   config.Version `cbor:"2,keyasint"`
	Author string         `cbor:"3,keyasint"`
	Reason string         `cbor:"4,keyasint"`
	At     time.Time      `cbor:"5,keyasint"`
	Change Change         `cbor:"6,keyasint"`
	// Force applies a whole document at readers whose version is below Base too,
	// or that have none. It is the way out after the stream was lost.
	Force bool `cbor:"7,keyasint,omitempty"`
}

// Change is a whole document or a list of small operations.
type Change struct {
	Document *config.Document `cbor:"1,keyasint,omitempty"`
	Ops      []Op             `cbor:"2,keyasint,omitempty"`
}
