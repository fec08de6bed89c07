package dev

import (
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// The client accounts of a development deployment.
const (
	AccountOrders   model.Account = "orders"
	AccountPlanning model.Account = "planning"
	AccountAnalysts model.Account = "analysts"
	AccountIndex    model.Account = "index"
)

const (
	cellsPerGroup = 3
	witnessCount  = 5
)

// initialDocument returns the configuration that a deployment starts with.
func initialDocument(s Size, cells []model.Cell) *config.Document {
	doc := &config.Document{
		Fleet: config.Fleet{
			Cells: cells, KeyGroups: s.KeyGroups, CellsPerGroup: cellsPerGroup, Witnesses: witnessCount,
		},
		Defaults: defaults(s),
		Accounts: accounts(),
	}
	for _, p := range s.Places {
		doc.Fleet.DataCentres = append(doc.Fleet.DataCentres, config.DataCentre{Name: p.DataCentre, Region: p.Region})
	}
	return doc
}

func defaults(s Size) config.Defaults {
	return config.Defaults{
		LongestWait:               config.Duration(30 * time.Second),
		LargeWait:                 config.Duration(5 * time.Second),
		UrgentWait:                config.Duration(5800 * time.Millisecond),
		ReclaimWithin:             config.Duration(5 * time.Second),
		CheckpointWithin:          config.Duration(2 * time.Second),
		LeaseTTL:                  config.Duration(4 * time.Second),
		KeyRetention:              config.Duration(10 * time.Minute),
		CallerSkew:                config.Duration(2 * time.Second),
		QueueBound:                2000,
		RatePerSecond:             s.RatePerSecond,
		Concurrency:               s.Concurrency,
		RetryShare:                0.2,
		MaxAttempts:               3,
		BodyLimitBytes:            1 << 20,
		Weights:                   config.Weights{Completion: 1, Fragmentation: 1},
		Reference:                 model.Shape{Accelerators: 8},
		CrossRegionBytesPerSecond: s.CrossRegionBytesPerSecond,
	}
}

func accounts() []config.Account {
	shapeOf := func(n int) model.Shape {
		return model.Shape{Slots: n, Accelerators: n, CPUMilli: 2000 * n, MemoryMB: n * (8 << 10)}
	}
	return []config.Account{
		{Name: AccountOrders, Share: 2, Guarantees: []config.Guarantee{
			{Shape: shapeOf(2), Count: 4, Adjacency: model.AdjacentAny},
		}},
		{Name: AccountPlanning, Share: 1},
		{Name: AccountAnalysts, Share: 1, Guarantees: []config.Guarantee{
			{Shape: shapeOf(2), Count: 2, Adjacency: model.AdjacentAny},
		}},
		{Name: AccountIndex, Share: 2, Guarantees: []config.Guarantee{
			{Shape: shapeOf(8), Count: 8, Adjacency: model.AdjacentRack},
		}},
	}
}
