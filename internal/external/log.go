package external

import (
	"context"
	"time"
)

// Topic names a keyed topic of the log. Every topic of the product keeps the
// newest record of each key.
type Topic string

// Record is one record of a keyed topic. A record without a value drops its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Producer makes an append idempotent: the store carries one sequence number
// out once, and refuses epochs below the highest it has seen.
type Producer struct {
	Name  string
	Epoch int64
	Seq   int64
}

// Append is one append; all its records are written or none.
type Append struct {
	Topic   Topic
	Records []Record
	// ExpectedEnd, if not nil, is the end that the partition must have.
	ExpectedEnd *int64
	// Producer, if not nil, makes repeats one. An append without records only
	// sets the epoch.
	Producer *Producer
}

// Page is what a read gives.
type Page struct {
	// End is the partition's end when the read was answered.
	End int64
	// Next is the offset to read from next.
	Next    int64
	Records []Record
	// Unreadable counts records that were left out, as they can't be read.
	Unreadable int
}

// Log is the store. Errors wrap those of this package.
type Log interface {
	// Append writes records and gives the offset behind them. Errors: ErrNotDone,
	// ErrUnclear, ErrFenced, ErrInvalid, *MovedError, *SequenceError.
	Append(ctx context.Context, a Append) (end int64, err error)
	// Read gives records from an offset on; it waits up to wait for the first.
	// Errors: ErrNotDone, ErrUnclear, *ExpiredError.
	Read(ctx context.Context, t Topic, from int64, wait time.Duration) (Page, error)
	// Newest gives the newest record of each key and the offset to follow from.
	// Errors: ErrNotDone, ErrUnclear.
	Newest(ctx context.Context, t Topic) (Page, error)
}
