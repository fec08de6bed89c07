package wire

import "coltsfootmux/internal/core/term"

// TermNotice carries a term record that its sender could not write to the store.
type TermNotice struct {
	Record term.Record `cbor:"1,keyasint"`
}
