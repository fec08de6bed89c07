package wire

import "coltsfootmux/internal/model"

// OverviewQuery asks a scheduler for an Overview.
type OverviewQuery struct{}

// Overview describes what one scheduler owns: its cells, the client accounts in
// them, and its key groups.
type Overview struct {
	Host     model.HostID    `cbor:"1,keyasint" json:"host"`
	Config   uint64          `cbor:"2,keyasint" json:"config_version"`
	Cells    []CellView      `cbor:"3,keyasint" json:"cells"`
	Accounts []AccountView   `cbor:"4,keyasint" json:"accounts"`
	Groups   []model.GroupID `cbor:"5,keyasint" json:"groups"`
}

// CellView describes one owned cell.
type CellView struct {
	ID    model.CellID `cbor:"1,keyasint" json:"id"`
	Owner model.HostID `cbor:"2,keyasint" json:"owner"`
	Epoch model.Epoch  `cbor:"3,keyasint" json:"epoch"`
	Free  model.Shape  `cbor:"4,keyasint" json:"free"`
	Total model.Shape  `cbor:"5,keyasint" json:"total"`
	// Fragmentation is the fraction of free accelerators that can't be used by a
	// task of the reference shape.
	Fragmentation float64      `cbor:"6,keyasint" json:"fragmentation"`
	Workers       []WorkerView `cbor:"7,keyasint" json:"workers"`
}

// WorkerView describes one worker of an owned cell.
type WorkerView struct {
	ID    model.WorkerID `cbor:"1,keyasint" json:"id"`
	State string         `cbor:"2,keyasint" json:"state"`
	Free  model.Shape    `cbor:"3,keyasint" json:"free"`
	Tasks int            `cbor:"4,keyasint" json:"tasks"`
}

// AccountView describes one client account's use of the owned cells.
type AccountView struct {
	ID         model.Account `cbor:"1,keyasint" json:"id"`
	Guaranteed model.Shape   `cbor:"2,keyasint" json:"guaranteed"`
	Used       model.Shape   `cbor:"3,keyasint" json:"used"`
	// Lent is the part of the guaranteed capacity that other accounts are using.
	Lent model.Shape `cbor:"4,keyasint" json:"lent"`
	// Waiting is the number of waiting requests and jobs.
	Waiting int `cbor:"5,keyasint" json:"waiting"`
}
