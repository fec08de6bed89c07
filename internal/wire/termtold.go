package wire

import "coltsfootmux/internal/core/term"

// TermTold is a record of the term that its writer can't get into the store.
type TermTold struct {
	Record term.Record `cbor:"1,keyasint"`
}
