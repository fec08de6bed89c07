package external

import (
	"fmt"

	"github.com/rotisserie/eris"
)

var (
	// ErrNotExecuted means that the far side provably did nothing; the call may be repeated.
	ErrNotExecuted = eris.New("call refused, nothing was done")
	// ErrConnectionRefused is an ErrNotDone: nobody listens at the address.
	ErrConnectionRefused = eris.Wrap(ErrNotExecuted, "nobody listens there")
	// ErrOutcomeUnknown means that no answer came: the call may have been carried out,
	// and it may still be carried out later.
	ErrOutcomeUnknown = eris.New("call without an answer")
	// ErrFenced means that a holder with a higher token exists.
	ErrFenced = eris.New("fenced by a higher token")
	// ErrInvalidRequest means that the far side can't understand the call; repeats fail alike.
	ErrInvalidRequest = eris.New("call not understood by the far side")
	// ErrMalformedAnswer means that the far side's answer can't be read.
	ErrMalformedAnswer = eris.New("answer not understood")
)

// ConflictError means that a conditional append met another end than it named.
type ConflictError struct {
	// End is the partition's end now.
	End int64
}

// Error gives the end.
func (e *ConflictError) Error() string { return fmt.Sprintf("partition ends at %d", e.End) }

// SequenceError means that an append's sequence number does not follow the last one.
type SequenceError struct {
	// Expected is the number that would follow.
	Expected int64
}

// Error gives the expected number.
func (e *SequenceError) Error() string { return fmt.Sprintf("sequence number %d expected", e.Expected) }

// ExpiredError means that the records asked for have been deleted.
type ExpiredError struct {
	// First is the oldest offset that is still held.
	First int64
}

// Error gives the first offset.
func (e *ExpiredError) Error() string { return fmt.Sprintf("records before %d have expired", e.First) }
