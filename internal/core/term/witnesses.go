package term

import (
	"cmp"
	"slices"

	"coltsfootmux/internal/core/witness"
)

// Witness is an instance that a term record names as a witness, see package witness.
type Witness struct {
	Addr string     `cbor:"1,keyasint"`
	ID   witness.ID `cbor:"2,keyasint"`
}

func atAddr(addr string) func(Witness) bool {
	return func(w Witness) bool { return w.Addr == addr }
}

// contains reports whether an incarnation, or an earlier one on its machine, is one of the witnesses.
func contains(ws []Witness, id witness.ID) bool {
	return slices.ContainsFunc(ws, func(w Witness) bool { return witness.SameMachine(w.ID, id) })
}

// sameAs matches an instance by its address and, as it may have several, by its ID.
func sameAs(other Witness) func(Witness) bool {
	return func(w Witness) bool { return w.Addr == other.Addr || w.ID == other.ID }
}

func byAddr(a, b Witness) int { return cmp.Compare(a.Addr, b.Addr) }
