package experiment

import (
	"time"

	"coltsfootmux/internal/model"
)

// CooperativeDay is a working day of the co-operative: reservations that must
// land at once, checks of standing orders, and gangs that plan routes.
func CooperativeDay(seed uint64) Trace {
	d := newDraw(seed, cooperativeWorker)
	const span = 8 * time.Hour
	reservation := sort{
		group: "reservation", kind: "reservation", class: model.ClassUrgent, eighths: []int{1}, members: []int{1},
		run: 500 * time.Millisecond, spread: 2, accounts: everyone, slotOnly: true,
	}
	check := sort{
		group: "check", kind: "standing-order", class: model.ClassNormal, eighths: []int{1, 2}, members: []int{1},
		run: 25 * time.Second, spread: 2.5, idempotent: true, accounts: everyone,
	}
	routes := sort{
		group: "routes", kind: "routes", class: model.ClassNormal, eighths: []int{4, 8}, members: []int{1, 2, 4},
		adj: model.AdjacentRack, run: 10 * time.Minute, spread: 2, preemptible: true, accounts: everyone,
	}
	forecast := sort{
		group: "forecast", kind: "forecast", class: model.ClassBatch, eighths: []int{2, 4}, members: []int{1},
		run: 12 * time.Minute, spread: 2, preemptible: true, accounts: borrowers,
	}
	d.steady(0, span, 5*time.Second, reservation)
	d.steady(0, span, 4*time.Second, check)
	d.burst(time.Hour, 2*time.Minute, 600, check)
	d.burst(5*time.Hour, 2*time.Minute, 600, check)
	d.steady(0, span, 100*time.Second, routes)
	d.burst(2*time.Hour, 5*time.Minute, 30, routes)
	d.steady(0, span, 30*time.Second, forecast)
	d.never(30, span, check)
	d.failing(20, span, check)
	d.cancelWave(3*time.Hour, 0.4)
	f := racks(fleetWorkers, cooperativeWorker)
	return Trace{
		Name: "cooperative-day", Seed: seed, Doc: document(f, cooperativeWorker, completion), Jobs: d.done(),
		Mixed:  true,
		Losses: d.lose(f, 6, span, 15*time.Minute), Bad: d.lose(f, 1, span, 40*time.Minute),
	}
}

// ObservatoryDay is a working day of the Observatory: listing checks during
// calls, district recomputes on adjacent accelerators, and the sweep.
func ObservatoryDay(seed uint64) Trace {
	d := newDraw(seed, observatoryWorker)
	const span = 8 * time.Hour
	listing := sort{
		group: "listing", kind: "listing", class: model.ClassNormal, eighths: []int{1}, members: []int{1},
		run: 8 * time.Second, spread: 2.5, idempotent: true, accounts: everyone,
	}
	call := sort{
		group: "call", kind: "call", class: model.ClassUrgent, eighths: []int{1}, members: []int{1},
		run: 4 * time.Second, spread: 2, idempotent: true, accounts: everyone,
	}
	recompute := sort{
		group: "recompute", kind: "recompute", class: model.ClassNormal, eighths: []int{8}, members: []int{2, 4, 4},
		adj: model.AdjacentRack, run: 25 * time.Minute, spread: 1.6, preemptible: true,
		accounts: []model.Account{"north", "south", "east"},
	}
	sweep := sort{
		group: "sweep", kind: "sweep", class: model.ClassBatch, eighths: []int{2, 4}, members: []int{1},
		run: 8 * time.Minute, spread: 2, preemptible: true, accounts: borrowers,
	}
	d.steady(0, span, 3*time.Second, listing)
	d.steady(0, span, 20*time.Second, call)
	d.burst(90*time.Minute, time.Minute, 500, listing)
	d.steady(0, span, 260*time.Second, recompute)
	d.burst(4*time.Hour, 5*time.Minute, 12, recompute)
	d.steady(0, span, 30*time.Second, sweep)
	d.burst(6*time.Hour, 10*time.Minute, 300, sweep)
	d.never(30, span, listing)
	d.failing(20, span, listing)
	d.cancelWave(5*time.Hour, 0.3)
	f := racks(fleetWorkers, observatoryWorker)
	return Trace{
		Name: "observatory-day", Seed: seed, Doc: document(f, observatoryWorker, wholeRacks), Jobs: d.done(),
		Mixed:  true,
		Losses: d.lose(f, 6, span, 15*time.Minute), Bad: d.lose(f, 1, span, 40*time.Minute),
	}
}
