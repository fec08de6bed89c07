package core

// FailureReason is why a call failed.
type FailureReason uint8

// The reasons for which a call fails.
const (
	// NotExecuted means that the peer's handler certainly did not run.
	NotExecuted FailureReason = iota + 1
	// OutcomeUnknown means that the request was sent and its handler may have run.
	OutcomeUnknown
	// HandlerFailed means that the handler returned an error.
	HandlerFailed
	// Overloaded means that a bounded queue was full; the handler did not run.
	Overloaded
)
