package placement

// Order says how the heads of the queues are compared.
type Order uint8

// The orders.
const (
	// OrderFair is the standard order: urgent work, guaranteed work, then fair
	// share among accounts, in which waiting counts, and small work first.
	OrderFair Order = iota
	// OrderArrival starts work in the order of arrival and lets none overtake.
	OrderArrival
	// OrderBackfill goes by arrival but lets later work overtake what does not fit.
	OrderBackfill
)

// Packing says how cells and workers are chosen.
type Packing uint8

// The ways of packing.
const (
	// PackRacks fills racks that are already in use and keeps whole ones whole.
	PackRacks Packing = iota
	// PackBestFit takes the worker with the least room left over.
	PackBestFit
	// PackFirstFit takes the first worker with room.
	PackFirstFit
)

// Policy holds the choices that experiments compare.
type Policy struct {
	Name    string
	Order   Order
	Packing Packing
	// Reserve drains racks for large work that waited its bound.
	Reserve bool
	// Preempt lets guaranteed, urgent and overdue work evict borrowers.
	Preempt bool
	// Guarantee keeps firm work out of room that is entitled to others.
	Guarantee bool
	// ResumeFirst orders preempted work by its first arrival instead of putting
	// it behind work that never ran.
	ResumeFirst bool
	// LooseRacks lets the fit on a worker decide before the fullness of its rack.
	LooseRacks bool
	// BlindEviction chooses room to reclaim without regard to what has to leave.
	BlindEviction bool
	// Consolidate moves borrowed work together to win room for the reference shape.
	Consolidate bool
	// ShortFirst orders by expected run time alone, whatever the size.
	ShortFirst bool
	// TakeTurns makes room for preempted large work as soon as for new.
	TakeTurns bool
	// AgeRank puts aged work before, and batch work behind, all other work instead
	// of weighing age and class against the accounts' shares.
	AgeRank bool
}

// Standard is the policy that schedulers run.
func Standard() Policy {
	return Policy{Name: "standard", Reserve: true, Preempt: true, Guarantee: true, Consolidate: true}
}
