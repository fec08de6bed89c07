package experiment

import (
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// The seeds of the traces.
const (
	SeedSmallBursts = 4101
	SeedLargeBursts = 4102
	SeedMixed       = 4103
	SeedCooperative = 4104
	SeedObservatory = 4105
)

const fleetWorkers = 50

var (
	everyone  = []model.Account{"north", "south", "east", "west"}
	borrowers = []model.Account{"west", "east", "west"}
)

// Traces gives all traces with their fixed seeds.
func Traces() []Trace {
	return []Trace{
		SmallBursts(SeedSmallBursts), LargeBursts(SeedLargeBursts), Mixed(SeedMixed),
		CooperativeDay(SeedCooperative), ObservatoryDay(SeedObservatory),
	}
}

var (
	even       = config.Weights{Completion: 1, Fragmentation: 1}
	completion = config.Weights{Completion: 3, Fragmentation: 1}
	wholeRacks = config.Weights{Completion: 1, Fragmentation: 3}
)

// The sorts of work that the burst traces are made of.
var (
	smallTask = sort{
		group: "small", kind: "task", class: model.ClassNormal, eighths: []int{1, 1, 1, 2}, members: []int{1},
		run: 20 * time.Second, spread: 3, idempotent: true, accounts: everyone,
	}
	urgentTask = sort{
		group: "urgent", kind: "lookup", class: model.ClassUrgent, eighths: []int{1}, members: []int{1},
		run: 3 * time.Second, spread: 2, accounts: everyone,
	}
	sweepTask = sort{
		group: "sweep", kind: "sweep", class: model.ClassBatch, eighths: []int{2, 4}, members: []int{1},
		run: 4 * time.Minute, spread: 2, preemptible: true, accounts: borrowers,
	}
	rackGang = sort{
		group: "large", kind: "train", class: model.ClassNormal, eighths: []int{8}, members: []int{2, 4},
		adj: model.AdjacentRack, run: 6 * time.Minute, spread: 1.8, preemptible: true, accounts: everyone,
	}
	firmGang = sort{
		group: "large", kind: "train", class: model.ClassNormal, eighths: []int{8}, members: []int{2, 4},
		adj: model.AdjacentRack, run: 6 * time.Minute, spread: 1.8, accounts: []model.Account{"north", "south"},
	}
)

// SmallBursts is bursts of small work over a background of sweeps.
func SmallBursts(seed uint64) Trace {
	d := newDraw(seed, cooperativeWorker)
	const span = time.Hour
	for at := 2 * time.Minute; at < span; at += 10 * time.Minute {
		d.burst(at, 20*time.Second, 1500, smallTask)
	}
	d.steady(0, span, 8*time.Second, sweepTask)
	d.steady(0, span, 6*time.Second, urgentTask)
	d.never(20, span, smallTask)
	d.failing(20, span, smallTask)
	d.cancelWave(23*time.Minute, 0.3)
	f := racks(fleetWorkers, cooperativeWorker)
	return Trace{
		Name: "small-bursts", Seed: seed, Doc: document(f, cooperativeWorker, even), Jobs: d.done(),
		Losses: d.lose(f, 4, span, 5*time.Minute), Bad: d.lose(f, 1, span/2, 20*time.Minute),
	}
}

// LargeBursts is bursts of gangs that need adjacent workers.
func LargeBursts(seed uint64) Trace {
	d := newDraw(seed, cooperativeWorker)
	const span = 3 * time.Hour
	for at := 5 * time.Minute; at < span; at += 30 * time.Minute {
		d.burst(at, time.Minute, 25, rackGang)
		d.burst(at, time.Minute, 6, firmGang)
	}
	d.steady(0, span, 30*time.Second, sweepTask)
	d.never(10, span, rackGang)
	d.cancelWave(70*time.Minute, 0.3)
	f := racks(fleetWorkers, cooperativeWorker)
	return Trace{
		Name: "large-bursts", Seed: seed, Doc: document(f, cooperativeWorker, even), Jobs: d.done(),
		Losses: d.lose(f, 4, span, 10*time.Minute),
	}
}

// Mixed is small and large work at once.
func Mixed(seed uint64) Trace {
	d := newDraw(seed, cooperativeWorker)
	const span = 2 * time.Hour
	d.steady(0, span, 600*time.Millisecond, smallTask)
	d.steady(0, span, 10*time.Second, urgentTask)
	d.steady(0, span, 10*time.Second, sweepTask)
	d.steady(0, span, 80*time.Second, rackGang)
	d.steady(0, span, 6*time.Minute, firmGang)
	d.never(20, span, smallTask)
	d.failing(10, span, smallTask)
	d.cancelWave(50*time.Minute, 0.3)
	f := racks(fleetWorkers, cooperativeWorker)
	return Trace{
		Name: "mixed", Seed: seed, Doc: document(f, cooperativeWorker, even), Jobs: d.done(), Mixed: true,
		Losses: d.lose(f, 4, span, 10*time.Minute), Bad: d.lose(f, 1, span/2, 20*time.Minute),
	}
}
