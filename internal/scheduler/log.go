package scheduler

import (
	"context"

	"coltsfootmux/internal/logclient"
	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
)

// Log is what the scheduler needs of the log client.
type Log interface {
	// Append returns once the record is on the log.
	Append(ctx context.Context, s platform.Stream, rec platform.Record) (model.Offset, error)
	// Enqueue appends later, in batches. It fails when its queue is full.
	Enqueue(s platform.Stream, rec platform.Record) error
	// Follow calls f with each entry from an offset on until ctx ends.
	Follow(ctx context.Context, s platform.Stream, from model.Offset, f func(platform.Entry), opts ...logclient.FollowOption) error
}
