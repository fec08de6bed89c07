package settings

import (
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// Op is one small change; exactly one field is set. A put replaces the item of
// the same name or adds it; removing what is not there can't be applied.
type Op struct {
	PutException     *config.Exception  `cbor:"1,keyasint,omitempty"`
	RemoveException  string             `cbor:"2,keyasint,omitempty"`
	PutAccount       *config.Account    `cbor:"3,keyasint,omitempty"`
	RemoveAccount    model.Account      `cbor:"4,keyasint,omitempty"`
	PutWorker        *PutWorker         `cbor:"5,keyasint,omitempty"`
	RemoveWorker     *RemoveWorker      `cbor:"6,keyasint,omitempty"`
	PutCell          *model.Cell        `cbor:"7,keyasint,omitempty"`
	RemoveCell       model.CellID       `cbor:"8,keyasint,omitempty"`
	PutDataCentre    *config.DataCentre `cbor:"9,keyasint,omitempty"`
	RemoveDataCentre model.DataCentre   `cbor:"10,keyasint,omitempty"`
	SetDefaults      *config.Defaults   `cbor:"11,keyasint,omitempty"`
	SetMapping       *Mapping           `cbor:"12,keyasint,omitempty"`
}

// PutWorker adds or replaces a worker of a cell.
type PutWorker struct {
	Cell   model.CellID `cbor:"1,keyasint"`
	Worker model.Worker `cbor:"2,keyasint"`
}

// RemoveWorker takes a worker out of its cell.
type RemoveWorker struct {
	Cell   model.CellID   `cbor:"1,keyasint"`
	Worker model.WorkerID `cbor:"2,keyasint"`
}

// Mapping holds the numbers that cut up the key space.
type Mapping struct {
	KeyGroups     int `cbor:"1,keyasint"`
	CellsPerGroup int `cbor:"2,keyasint"`
	Witnesses     int `cbor:"3,keyasint"`
}
