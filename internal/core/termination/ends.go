package termination

// EndsRead is how far an owner has read the ended runs of one incarnation of a worker. A worker
// lists them in the order in which the runs ended, and only so many in one answer; the next ones
// follow once those are acknowledged. The zero value says that nothing has been read.
type EndsRead struct {
	// through is a hold: all runs that ended before the lists that answer it have been read.
	through int64
}

// ListedAll records that the answer to a hold listed all ended runs.
func (e *EndsRead) ListedAll(hold int64) { e.through = max(e.through, hold) }

// Listed records that the end of a run was read which the answer to an earlier hold showed as
// active: what ended before that answer is listed before it.
func (e *EndsRead) Listed(activeIn int64) { e.through = max(e.through, activeIn) }

// Since reports whether all ends have been read of runs that ended before a hold was answered
// which was sent after the given one.
func (e EndsRead) Since(hold int64) bool { return e.through > hold }
