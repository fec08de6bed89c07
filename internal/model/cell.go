package model

// Cell is a group of adjacent workers that one scheduler owns at a time.
type Cell struct {
	ID         CellID     `json:"id" yaml:"id" cbor:"1,keyasint" validate:"required"`
	DataCentre DataCentre `json:"data_centre" yaml:"dataCentre" cbor:"2,keyasint" validate:"required"`
	Workers    []Worker   `json:"workers" yaml:"workers" cbor:"3,keyasint" validate:"required,dive"`
}
