package config

import "coltsfootmux/internal/model"

// Document is a complete configuration.
type Document struct {
	Fleet    Fleet     `yaml:"fleet" json:"fleet"`
	Defaults Defaults  `yaml:"defaults" json:"defaults"`
	Accounts []Account `yaml:"accounts" json:"accounts" validate:"dive"`
	// Exceptions override defaults, each for a stated reason.
	Exceptions []Exception `yaml:"exceptions" json:"exceptions" validate:"dive"`
}

// Fleet lists the places where work can run.
type Fleet struct {
	DataCentres []DataCentre `yaml:"dataCentres" json:"data_centres" validate:"required,dive"`
	Cells       []model.Cell `yaml:"cells" json:"cells" validate:"required,dive"`
	// KeyGroups is the number of groups that the key space is divided into.
	KeyGroups int `yaml:"keyGroups" json:"key_groups" validate:"gte=1,lte=4096"`
	// CellsPerGroup is the number of cells that serve one key group.
	CellsPerGroup int `yaml:"cellsPerGroup" json:"cells_per_group" validate:"gte=1,lte=64"`
	// Witnesses is the number of workers that act as witnesses for a key group; odd,
	// so that a majority is more than half.
	Witnesses int `yaml:"witnesses" json:"witnesses" validate:"gte=1,lte=15"`
}

// DataCentre is a data centre and its region.
type DataCentre struct {
	Name   model.DataCentre `yaml:"name" json:"name" validate:"required"`
	Region model.Region     `yaml:"region" json:"region" validate:"required"`
}
