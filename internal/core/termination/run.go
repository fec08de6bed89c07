package termination

// maxMissingLists is the number of successive lists without a run after which it counts as
// over.
const maxMissingLists = 2

// Run is what a worker's answer to a hold tells of a run that its list of active runs does
// not show.
type Run struct {
	// Reflected says that the lists were made after the run entered its present state, so
	// that they would show it.
	Reflected bool
	// Started says that the worker had confirmed the start.
	Started bool
	// StopAcknowledged says that the worker has acknowledged a stop. It then never starts the
	// run.
	StopAcknowledged bool
	// OtherIncarnation says that a later incarnation of the worker made the lists.
	OtherIncarnation bool
	// EndsUnread says that the worker may have listed only a part of its ended runs, so that the
	// run may be one of the others.
	EndsUnread bool
	// MissingLists is the number of successive lists, this one included, that should have
	// shown the run, as active or as ended.
	MissingLists int
}

// IsOver reports whether the run is certainly over. A start that was under way when the lists
// were made may still be carried out, by a later incarnation too.
func (r Run) IsOver() bool {
	switch {
	case !r.Reflected:
		return false
	case r.OtherIncarnation:
		return r.Started
	case r.EndsUnread:
		return false
	case r.StopAcknowledged:
		return true
	}
	return r.Started && r.MissingLists >= maxMissingLists
}
