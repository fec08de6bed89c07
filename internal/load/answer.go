package load

import (
	"time"

	"coltsfootmux/internal/model"
)

// Answer is what a caller learnt about one request in the end.
type Answer struct {
	Key     model.Key
	Kind    model.Kind
	Outcome model.Outcome
	Reason  model.Reason
	// Lost says that the caller was never told an outcome.
	Lost bool
	// Idempotent and Members are those of the request.
	Idempotent bool
	Members    int
	// At is when it was to be sent, from the start of the run.
	At time.Duration
	// Latency is the time from the planned sending to the answer.
	Latency time.Duration
}
