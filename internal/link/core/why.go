package core

// Why says how a call failed.
type Why uint8

// The ways to fail.
const (
	// NotSent means that the far side's handler was provably not run.
	NotSent Why = iota + 1
	// Lost means that the request was sent and its fate is not known.
	Lost
	// Remote means that the handler gave an error.
	Remote
	// Overloaded means that a bounded queue was full and the handler not run.
	Overloaded
)
