package core

// FailureReason says how a call failed.
type FailureReason uint8

// The ways to fail.
const (
	// NotExecuted means that the far side's handler was provably not run.
	NotExecuted FailureReason = iota + 1
	// OutcomeUnknown means that the request was sent and its fate is not known.
	OutcomeUnknown
	// HandlerFailed means that the handler gave an error.
	HandlerFailed
	// Overloaded means that a bounded queue was full and the handler not run.
	Overloaded
)
