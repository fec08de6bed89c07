package dev

import (
	"fmt"

	"coltsfootmux/internal/model"
)

// Size contains the dimensions and limits of a deployment.
type Size struct {
	// Places lists the data centres. The log and the host list are in the region of
	// the first.
	Places []Place
	// WorkersPerRack is the number of workers in a rack. Each rack is one cell.
	WorkersPerRack int
	// WorkerCapacity is the capacity of each worker.
	WorkerCapacity model.Shape
	// OwnHosts is the number of the system's own hosts. Each runs an entry, a
	// scheduler and an admin program.
	OwnHosts int
	// KeyGroups is the number of groups that the key space is divided into.
	KeyGroups int
	// RatePerSecond and Concurrency limit the requests of one client account at one
	// entry program.
	RatePerSecond float64
	Concurrency   int
	// CrossRegionBytesPerSecond is the number of bytes per second that one host may
	// send to other regions.
	CrossRegionBytesPerSecond int
}

// Place is a data centre with its region and number of racks.
type Place struct {
	DataCentre model.DataCentre
	Region     model.Region
	Racks      int
}

const (
	defaultRacks     = 2
	defaultKeyGroups = 12
)

// DefaultSize returns a size with two regions, three data centres and six racks.
func DefaultSize() Size {
	return Size{
		Places: []Place{
			{DataCentre: "riga-1", Region: "home", Racks: defaultRacks},
			{DataCentre: "riga-2", Region: "home", Racks: defaultRacks},
			{DataCentre: "almaty-1", Region: "east", Racks: defaultRacks},
		},
		WorkersPerRack: 8,
		WorkerCapacity: model.Shape{Slots: 8, Accelerators: 8, CPUMilli: 32_000, MemoryMB: 128 << 10},
		OwnHosts:       3,
		KeyGroups:      defaultKeyGroups,
		RatePerSecond:  1000,
		Concurrency:    500,

		CrossRegionBytesPerSecond: 1_000_000,
	}
}

// rackName returns the name of rack i, counted from 0, of a data centre.
func rackName(dc model.DataCentre, i int) model.CellID {
	return model.CellID(fmt.Sprintf("%s-rack%d", dc, i+1))
}

// workerName returns the name of worker i, counted from 0, of a rack.
func workerName(rack model.CellID, i int) model.WorkerID {
	return model.WorkerID(fmt.Sprintf("%s-w%d", rack, i+1))
}
