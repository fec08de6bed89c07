package wire

import "coltsfootmux/internal/core/term"

// TermNotice is a record of the term that its writer can't get into the store.
type TermNotice struct {
	Record term.Record `cbor:"1,keyasint"`
}
