package config

import "coltsfootmux/internal/model"

// Document is one whole configuration.
type Document struct {
	Fleet    Fleet     `yaml:"fleet" json:"fleet"`
	Defaults Defaults  `yaml:"defaults" json:"defaults"`
	Accounts []Account `yaml:"accounts" json:"accounts" validate:"dive"`
	// Exceptions override defaults; each carries its reason.
	Exceptions []Exception `yaml:"exceptions" json:"exceptions" validate:"dive"`
}

// Fleet lists the places that work can run in.
type Fleet struct {
	DataCentres []DataCentre `yaml:"dataCentres" json:"data_centres" validate:"required,dive"`
	Cells       []model.Cell `yaml:"cells" json:"cells" validate:"required,dive"`
	// KeyGroups is how many groups the key space is cut into.
	KeyGroups int `yaml:"keyGroups" json:"key_groups" validate:"gte=1,lte=4096"`
	// CellsPerGroup is how many cells serve one key group.
	CellsPerGroup int `yaml:"cellsPerGroup" json:"cells_per_group" validate:"gte=1,lte=64"`
	// Witnesses is how many workers guard a key group; odd.
	Witnesses int `yaml:"witnesses" json:"witnesses" validate:"gte=1,lte=15"`
}

// DataCentre places a data centre in its region.
type DataCentre struct {
	Name   model.DataCentre `yaml:"name" json:"name" validate:"required"`
	Region model.Region     `yaml:"region" json:"region" validate:"required"`
}
