package load

import (
	"context"
	"time"

	"coltsfootmux/internal/model"
)

// Call is one request to be sent.
type Call struct {
	Key      model.Key
	Spec     *KindSpec
	Deadline time.Time
	Body     []byte
}

// Reply is what a caller was told in one answer.
type Reply struct {
	Outcome model.Outcome
	Reason  model.Reason
	// Accepted says that a job was taken on; its outcome is asked for later.
	Accepted bool
	// RetryAfter says when to come back; zero for no hint.
	RetryAfter time.Duration
}

// Caller sends requests to the callers' API.
type Caller interface {
	// Send sends a request or job and waits for the answer. An error means that
	// no answer came; the same call may be sent again under its key.
	Send(ctx context.Context, c Call) (Reply, error)
	// Status asks what became of a key. Accepted is true while it has no outcome.
	Status(ctx context.Context, account model.Account, k model.Key) (Reply, error)
}
