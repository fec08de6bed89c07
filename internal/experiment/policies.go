package experiment

import "coltsfootmux/internal/core/placement"

// Policies gives the standard policy, the baselines and the earlier versions of
// the standard policy, in that order.
func Policies() []placement.Policy {
	return []placement.Policy{
		placement.Standard(),
		FirstCome(),
		BestFit(),
		resumeFirst(),
		looseRacks(),
		blindEviction(),
		scattered(),
		shortFirst(),
		takeTurns(),
		ageRank(),
	}
}

// looseRacks is the standard policy as it was before the fullness of a rack
// decided before the fit on a worker.
func looseRacks() placement.Policy {
	p := placement.Standard()
	p.Name = "loose-racks"
	p.LooseRacks = true
	return p
}

// resumeFirst is the standard policy as it was before preempted work went
// behind work that never ran.
func resumeFirst() placement.Policy {
	p := placement.Standard()
	p.Name = "resume-first"
	p.ResumeFirst = true
	return p
}

// FirstCome is first come, first served, on the first worker with room.
func FirstCome() placement.Policy {
	return placement.Policy{
		Name: "first-come", Order: placement.OrderArrival, Packing: placement.PackFirstFit,
	}
}

// BestFit goes by arrival, lets later work overtake, takes the tightest fit and
// reserves nothing.
func BestFit() placement.Policy {
	return placement.Policy{
		Name: "best-fit", Order: placement.OrderBackfill, Packing: placement.PackBestFit,
	}
}

// blindEviction is the standard policy as it was before room to reclaim was
// chosen by what has to leave it.
func blindEviction() placement.Policy {
	p := placement.Standard()
	p.Name = "blind-eviction"
	p.BlindEviction = true
	return p
}

// scattered is the standard policy as it was before borrowed work was moved
// together.
func scattered() placement.Policy {
	p := placement.Standard()
	p.Name = "scattered"
	p.Consolidate = false
	return p
}

// shortFirst is the standard policy as it was before the size of work counted
// in its order.
func shortFirst() placement.Policy {
	p := placement.Standard()
	p.Name = "short-first"
	p.ShortFirst = true
	return p
}

// takeTurns is the standard policy as it was before preempted large work had to
// wait longer than new before room was made for it.
func takeTurns() placement.Policy {
	p := placement.Standard()
	p.Name = "take-turns"
	p.TakeTurns = true
	return p
}

// ageRank is the standard policy as it was before age and class were weighed
// against the accounts' shares.
func ageRank() placement.Policy {
	p := placement.Standard()
	p.Name = "age-rank"
	p.AgeRank = true
	return p
}
