package summary

import (
	"coltsfootmux/internal/model"
)

// Cell is what peers know of one cell.
type Cell struct {
	_    struct{} `cbor:",toarray"`
	ID   model.CellID
	Free model.Shape
	// Waiting is how many pieces of work wait for the cell.
	Waiting int
	// FragmentationPermille is the share of free accelerators, in thousandths,
	// that can't serve the reference shape.
	FragmentationPermille int
	// Lent lists accounts whose guaranteed room others use, in order of account.
	Lent []Lent
}

// Lent is the guaranteed room of one account that others use.
type Lent struct {
	_       struct{} `cbor:",toarray"`
	Account model.Account
	Shape   model.Shape
}
