package experiment

import (
	"fmt"
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

const (
	rackWorkers = 8
	gib         = 1 << 10
)

// The workers of the two users.
var (
	cooperativeWorker = model.Shape{Slots: 8, Accelerators: 8, CPUMilli: 32000, MemoryMB: 128 * gib}
	observatoryWorker = model.Shape{Slots: 8, Accelerators: 8, CPUMilli: 64000, MemoryMB: 256 * gib}
)

// eighth is the part of a worker that goes with one accelerator.
func eighth(w model.Shape) model.Shape {
	return model.Shape{Slots: 1, Accelerators: 1, CPUMilli: w.CPUMilli / 8, MemoryMB: w.MemoryMB / 8}
}

// racks lays workers out over racks of eight and three data centres.
func racks(workers int, size model.Shape) config.Fleet {
	f := config.Fleet{
		DataCentres: []config.DataCentre{
			{Name: "dc-a", Region: "home"}, {Name: "dc-b", Region: "home"}, {Name: "dc-c", Region: "away"},
		},
		KeyGroups: 8, CellsPerGroup: 4, Witnesses: 3,
	}
	for i := range workers {
		rack := i / rackWorkers
		if i%rackWorkers == 0 {
			f.Cells = append(f.Cells, model.Cell{
				ID:         model.CellID(fmt.Sprintf("rack-%02d", rack)),
				DataCentre: f.DataCentres[rack%len(f.DataCentres)].Name,
			})
		}
		cl := &f.Cells[rack]
		cl.Workers = append(cl.Workers, model.Worker{
			ID:   model.WorkerID(fmt.Sprintf("rack-%02d-w%d", rack, i%rackWorkers)),
			Addr: "127.0.0.1:1", Capacity: size,
		})
	}
	return f
}

// document is the configuration of a user with four accounts, of which the
// first two are large and guaranteed half a rack and a quarter of one.
func document(f config.Fleet, size model.Shape, w config.Weights) *config.Document {
	return &config.Document{
		Fleet: f,
		Defaults: config.Defaults{
			LongestWait:      config.Duration(12 * time.Hour),
			LargeWait:        config.Duration(3 * time.Minute),
			UrgentWait:       config.Duration(5800 * time.Millisecond),
			ReclaimWithin:    config.Duration(30 * time.Second),
			CheckpointWithin: config.Duration(20 * time.Second),
			LeaseTTL:         config.Duration(5 * time.Second),
			QueueBound:       100000, MaxAttempts: 4,
			Weights:   w,
			Reference: size.Times(4),
		},
		Accounts: []config.Account{
			{Name: "north", Share: 2, Guarantees: []config.Guarantee{
				{Shape: size, Count: 4, Adjacency: model.AdjacentRack},
			}},
			{Name: "south", Share: 2, Guarantees: []config.Guarantee{
				{Shape: size, Count: 4, Adjacency: model.AdjacentRack},
			}},
			{Name: "east", Share: 1, Guarantees: []config.Guarantee{
				{Shape: size, Count: 2, Adjacency: model.AdjacentRack},
			}},
			{Name: "west", Share: 1},
		},
	}
}
