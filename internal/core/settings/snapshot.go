package settings

import (
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// Snapshot is the whole state that the records of the stream up to an offset led to.
type Snapshot struct {
	Version config.Version `cbor:"1,keyasint"`
	// Through is the last offset that the state takes in. A reader may start
	// from it only when it can read everything after it.
	Through  model.Offset     `cbor:"2,keyasint"`
	Document *config.Document `cbor:"3,keyasint"`
	// Recent holds the ids of the last accepted records, oldest first.
	Recent []string `cbor:"4,keyasint"`
}
