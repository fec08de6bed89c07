package model

// Outcome is the final word on a request or job.
type Outcome string

// The outcomes.
const (
	// OutcomeDone means the whole answer is at hand (it may say the task failed).
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means it is proved that no part of it ran.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means it was sent and its fate could not be proved in time.
	OutcomeUnknown Outcome = "unknown"
)
