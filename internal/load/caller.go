package load

import (
	"context"
	"time"

	"coltsfootmux/internal/model"
)

// Call is one request or job to be sent.
type Call struct {
	Key      model.Key
	Spec     *KindSpec
	Deadline time.Time
	Body     []byte
}

// Reply is the content of one answer to a caller.
type Reply struct {
	Outcome model.Outcome
	Reason  model.Reason
	// Accepted says that a job was accepted; its outcome must be polled for.
	Accepted bool
	// RetryAfter is the delay that the server asks for before the next attempt, or
	// zero if it gave none.
	RetryAfter time.Duration
}

// Caller sends requests to the callers' API.
type Caller interface {
	// Send sends a request or job and waits for the answer. An error means that no
	// answer was received; the same call may be sent again under its key.
	Send(ctx context.Context, c Call) (Reply, error)
	// Status returns the state of the request with the key. Accepted is true while
	// it has no outcome.
	Status(ctx context.Context, account model.Account, k model.Key) (Reply, error)
}
