package wire

import "coltsfootmux/internal/model"

// OverviewQuery asks a scheduler for what it owns.
type OverviewQuery struct{}

// Overview is what one scheduler owns and sees.
type Overview struct {
	Host     model.HostID    `cbor:"1,keyasint" json:"host"`
	Config   uint64          `cbor:"2,keyasint" json:"config_version"`
	Cells    []CellView      `cbor:"3,keyasint" json:"cells"`
	Accounts []AccountView   `cbor:"4,keyasint" json:"accounts"`
	Groups   []model.GroupID `cbor:"5,keyasint" json:"groups"`
}

// CellView is one owned cell.
type CellView struct {
	ID    model.CellID `cbor:"1,keyasint" json:"id"`
	Owner model.HostID `cbor:"2,keyasint" json:"owner"`
	Epoch model.Epoch  `cbor:"3,keyasint" json:"epoch"`
	Free  model.Shape  `cbor:"4,keyasint" json:"free"`
	Total model.Shape  `cbor:"5,keyasint" json:"total"`
	// Fragmentation is the share of free accelerators that can't serve the reference shape.
	Fragmentation float64      `cbor:"6,keyasint" json:"fragmentation"`
	Workers       []WorkerView `cbor:"7,keyasint" json:"workers"`
}

// WorkerView is one worker of an owned cell.
type WorkerView struct {
	ID    model.WorkerID `cbor:"1,keyasint" json:"id"`
	State string         `cbor:"2,keyasint" json:"state"`
	Free  model.Shape    `cbor:"3,keyasint" json:"free"`
	Tasks int            `cbor:"4,keyasint" json:"tasks"`
}

// AccountView is one client account's standing in the owned cells.
type AccountView struct {
	ID         model.Account `cbor:"1,keyasint" json:"id"`
	Guaranteed model.Shape   `cbor:"2,keyasint" json:"guaranteed"`
	Used       model.Shape   `cbor:"3,keyasint" json:"used"`
	// Lent is guaranteed room that others use now.
	Lent    model.Shape `cbor:"4,keyasint" json:"lent"`
	Waiting int         `cbor:"5,keyasint" json:"waiting"`
}
