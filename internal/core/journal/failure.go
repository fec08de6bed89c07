package journal

// Failure is what is known of a call to the log that did not succeed.
type Failure uint8

// The failures; FailNone stands for success.
const (
	FailNone Failure = iota
	// FailNothing means that the call had no effect and may be made again.
	FailNothing
	// FailThrottled means that the call had no effect, as the log takes no more
	// calls just now.
	FailThrottled
	// FailUnclear means that the call may have taken effect.
	FailUnclear
	// FailRefused means that the log will not take these records.
	FailRefused
	// FailExpired means that the offset is no longer kept.
	FailExpired
)
