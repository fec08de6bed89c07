package external

import (
	"context"
	"time"
)

// Topic names a keyed topic of the store. Every topic in use is compacted: the store
// retains the newest record of each key.
type Topic string

// Record is one record of a keyed topic. A record without a value deletes its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Producer makes an append idempotent: the store executes each sequence number
// once, and refuses epochs below the highest that it has seen.
type Producer struct {
	Name  string
	Epoch int64
	Seq   int64
}

// Append is one append. Either all of its records are written or none.
type Append struct {
	Topic   Topic
	Records []Record
	// ExpectedEnd, if not nil, is the end that the partition must have for the
	// append to be made.
	ExpectedEnd *int64
	// Producer, if not nil, makes the append idempotent. An append without records
	// only sets the producer's epoch.
	Producer *Producer
}

// Page is the result of a read.
type Page struct {
	// End is the partition's end when the read was answered.
	End int64
	// Next is the offset to read from next.
	Next    int64
	Records []Record
	// Unreadable is the number of records that were skipped because they can't be
	// decoded.
	Unreadable int
}

// Store is a client of the log store. Its errors wrap those of this package.
type Store interface {
	// Append writes records and returns the offset after the last one. Errors:
	// ErrNotExecuted, ErrOutcomeUnknown, ErrFenced, ErrInvalidRequest,
	// *ConflictError, *SequenceError.
	Append(ctx context.Context, a Append) (end int64, err error)
	// Read returns records starting at an offset. If there are none yet, it waits
	// for up to wait. Errors: ErrNotExecuted, ErrOutcomeUnknown, *ExpiredError.
	Read(ctx context.Context, t Topic, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest record of each key and the offset from which to
	// read on. Errors: ErrNotExecuted, ErrOutcomeUnknown.
	Newest(ctx context.Context, t Topic) (Page, error)
}
