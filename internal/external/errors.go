package external

import (
	"fmt"

	"github.com/rotisserie/eris"
)

var (
	// ErrNotExecuted means that the call certainly had no effect; it may be repeated.
	ErrNotExecuted = eris.New("call was not executed")
	// ErrConnectionRefused wraps ErrNotExecuted: nothing listens at the address.
	ErrConnectionRefused = eris.Wrap(ErrNotExecuted, "connection refused")
	// ErrUnreached wraps ErrNotExecuted: no connection could be opened, which is no answer of the other side.
	ErrUnreached = eris.Wrap(ErrNotExecuted, "no connection")
	// ErrNotSent wraps ErrNotExecuted: this process did not send the call.
	ErrNotSent = eris.Wrap(ErrNotExecuted, "not sent")
	// ErrRateLimited wraps ErrNotExecuted: all clients together call too often.
	ErrRateLimited = eris.Wrap(ErrNotExecuted, "rate limit")
	// ErrOutcomeUnknown means that no usable answer came: the call may have been
	// executed, or may still be executed later.
	ErrOutcomeUnknown = eris.New("outcome of the call is unknown")
	// ErrFenced means that the store or worker has seen a higher fencing token.
	ErrFenced = eris.New("fenced by a higher token")
	// ErrInvalidRequest means that the store or worker can't interpret the request;
	// a repeat would fail in the same way.
	ErrInvalidRequest = eris.New("request rejected as invalid")
	// ErrMalformedAnswer means that the answer to a call can't be decoded.
	ErrMalformedAnswer = eris.New("malformed answer")
)

// ConflictError means that a conditional append was not made, as the partition's
// end is not the expected one.
type ConflictError struct {
	// End is the partition's present end.
	End int64
}

// Error states the partition's end.
func (e *ConflictError) Error() string { return fmt.Sprintf("partition ends at %d", e.End) }

// SequenceError means that an append's sequence number does not follow the last one.
type SequenceError struct {
	// Expected is the number that would follow.
	Expected int64
}

// Error states the expected number.
func (e *SequenceError) Error() string { return fmt.Sprintf("sequence number %d expected", e.Expected) }

// ExpiredError means that the requested records have been deleted.
type ExpiredError struct {
	// First is the oldest offset that is still retained.
	First int64
}

// Error states the oldest retained offset.
func (e *ExpiredError) Error() string { return fmt.Sprintf("records before %d have expired", e.First) }
