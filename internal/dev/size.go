package dev

import (
	"fmt"

	"coltsfootmux/internal/model"
)

// Size says how large a deployment is.
type Size struct {
	// Places lists the data centres, each with its region and its racks.
	Places []Place
	// WorkersPerRack is the number of workers in one rack, which is one cell.
	WorkersPerRack int
	// Capacity is what each worker has.
	Capacity model.Shape
	// OwnHosts is the number of hosts that run entry, scheduler and admin.
	OwnHosts int
	// KeyGroups is the number of groups that the key space is cut into.
	KeyGroups int
	// RatePerSecond and Concurrency bound one account at one entry host.
	RatePerSecond float64
	Concurrency   int
	// CrossRegionBytes is what one host may send to other regions in a second.
	CrossRegionBytes int
}

// Place is a data centre.
type Place struct {
	DataCentre model.DataCentre
	Region     model.Region
	Racks      int
}

const (
	defaultRacks     = 2
	defaultKeyGroups = 12
)

// DefaultSize gives two regions with three data centres and six racks.
func DefaultSize() Size {
	return Size{
		Places: []Place{
			{DataCentre: "riga-1", Region: "home", Racks: defaultRacks},
			{DataCentre: "riga-2", Region: "home", Racks: defaultRacks},
			{DataCentre: "almaty-1", Region: "east", Racks: defaultRacks},
		},
		WorkersPerRack: 8,
		Capacity:       model.Shape{Slots: 8, Accelerators: 8, CPUMilli: 32_000, MemoryMB: 128 << 10},
		OwnHosts:       3,
		KeyGroups:      defaultKeyGroups,
		RatePerSecond:  1000,
		Concurrency:    500,

		CrossRegionBytes: 1_000_000,
	}
}

// rackName names a data centre's rack.
func rackName(dc model.DataCentre, i int) model.CellID {
	return model.CellID(fmt.Sprintf("%s-rack%d", dc, i+1))
}

// workerName names a rack's worker.
func workerName(rack model.CellID, i int) model.WorkerID {
	return model.WorkerID(fmt.Sprintf("%s-w%d", rack, i+1))
}
