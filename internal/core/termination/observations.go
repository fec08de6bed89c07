package termination

// Observations is the set of what an owner has observed of a worker.
type Observations uint16

// Observations that prove nothing by themselves.
const (
	// NoAnswer says that the last hold failed or was refused.
	NoAnswer Observations = 1 << iota
	// ConnectionRefused says that nothing accepted connections at the worker's address.
	ConnectionRefused
	// Unlisted says that the store's list does not contain the worker.
	Unlisted
	// Draining says that the worker has announced that it will leave.
	Draining
	// EndsUnread says that the worker's present incarnation may list ended runs of earlier owners
	// only once others are acknowledged.
	EndsUnread
)

// Observations that are evidence.
const (
	// OtherProcess says that another process has answered at the address at which the worker
	// runs. An address has one process at a time.
	OtherProcess Observations = 1 << (iota + 8)
	// LeasesExpired says that every lease that this owner granted the worker, or found there,
	// has expired, also by the slowest permitted clock.
	LeasesExpired
	// EarlierLeasesExpired says the same of the leases that earlier owners may have granted.
	EarlierLeasesExpired
	// AnsweredInTerm says that the worker's present incarnation has answered a hold of this
	// term. Its lists then show all runs of earlier owners, and it refuses their orders.
	AnsweredInTerm
	// Vacant says that the previous owner stored that the worker was without runs and would
	// get none.
	Vacant
	// NeverAssigned says that no earlier owner can have used the worker: its roster, which is
	// stored before a worker is used, does not contain it.
	NeverAssigned
	// RunsRecorded says that the previous owner stored which runs the worker might have, and that
	// it would get no others. This owner then knows them.
	RunsRecorded
)

// has reports whether the set contains any of the given observations.
func (o Observations) has(any Observations) bool { return o&any != 0 }

// Proof says why runs are certainly over. It is empty if they may go on.
type Proof string

// The proofs.
const (
	None            Proof = ""
	ByOtherProcess  Proof = "process is gone"
	ByLease         Proof = "lease has expired"
	ByLists         Proof = "lists are known"
	ByRoster        Proof = "recorded as vacant"
	ByNoAssignment  Proof = "never in use"
	ByEarlierLeases Proof = "leases of earlier owners have expired"
	ByRecordedRuns  Proof = "its runs are recorded"
	// ByIncarnation and ByMissingRun are the proofs of Run.
	ByIncarnation Proof = "worker has restarted"
	ByMissingRun  Proof = "lists do not show it"
)

// KnownRuns returns the proof that all runs of the worker that the owner knows of are over.
// Of a worker that answers, its lists tell.
func (o Observations) KnownRuns() Proof {
	switch {
	case o.has(OtherProcess):
		return ByOtherProcess
	case o.has(NoAnswer) && o.has(LeasesExpired):
		return ByLease
	}
	return None
}

// MayHideEnds reports whether a worker that has ended runs which it does not list yet may have
// such of earlier owners.
func (o Observations) MayHideEnds() bool { return !o.has(NeverAssigned | Vacant | RunsRecorded) }

// UnknownRuns returns the proof that the worker has no run of an earlier owner that this
// owner does not know of, whether active or ended.
func (o Observations) UnknownRuns() Proof {
	unread := o.has(EndsUnread)
	switch {
	case o.has(AnsweredInTerm) && !unread:
		return ByLists
	case o.has(OtherProcess):
		return ByOtherProcess
	case o.has(NeverAssigned):
		return ByNoAssignment
	case o.has(Vacant):
		return ByRoster
	case o.has(RunsRecorded):
		return ByRecordedRuns
	case unread && !(o.has(NoAnswer) && o.has(LeasesExpired)):
		return None
	case o.has(EarlierLeasesExpired):
		return ByEarlierLeases
	}
	return None
}
