package load

import (
	"time"

	"coltsfootmux/internal/model"
)

// Answer is the final result of one request or job as its caller sees it.
type Answer struct {
	Key     model.Key
	Kind    model.Kind
	Outcome model.Outcome
	Reason  model.Reason
	// Lost says that the caller never received an outcome.
	Lost bool
	// Idempotent and Members are those of the request.
	Idempotent bool
	Members    int
	// At is the planned time of sending, since the start of the load.
	At time.Duration
	// Latency is the time from the planned sending to the answer.
	Latency time.Duration
}
