// Package httplog is the platform.Log binding over HTTP and JSON.
package httplog

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"coltsfootmux/internal/model"
	"coltsfootmux/internal/platform"
	"coltsfootmux/internal/platform/httpcall"
	"coltsfootmux/internal/platform/protocol"
)

// Options are the settings of a Log; see httpcall.Options.
type Options = httpcall.Options

// Log is a client of the log service.
type Log struct{ call *httpcall.Caller }

var _ platform.Log = (*Log)(nil)

// New makes the client of the log service at a base URL. It does no I/O.
func New(baseURL string, opts Options) *Log {
	return &Log{call: httpcall.New(baseURL, opts)}
}

// Close gives the idle connections up.
func (l *Log) Close() { l.call.Close() }

// Append adds records in order and gives the offset of the first.
func (l *Log) Append(ctx context.Context, s platform.Stream, recs []platform.Record) (model.Offset, error) {
	var out protocol.AppendAnswer
	in := protocol.AppendRequest{Stream: s, Records: recs}
	if err := l.call.Post(ctx, protocol.PathAppend, 0, in, &out); err != nil {
		return 0, eris.Wrap(err, "append")
	}
	if out.Offset == 0 {
		return 0, eris.Wrap(platform.ErrUnclear, "append: answer without an offset")
	}
	return out.Offset, nil
}

// Read gives up to limit entries from an offset on, waiting up to wait for the first.
func (l *Log) Read(ctx context.Context, s platform.Stream, from model.Offset, limit int, wait time.Duration) ([]platform.Entry, error) {
	var out protocol.ReadAnswer
	from = firstOffset(from)
	wait = min(wait, protocol.MaxPoll)
	in := protocol.ReadRequest{Stream: s, From: from, Max: min(limit, protocol.MaxRecords), Wait: wait}
	if err := l.call.Post(ctx, protocol.PathRead, wait, in, &out); err != nil {
		return nil, eris.Wrap(err, "read")
	}
	if err := checkOrder(out.Entries, from); err != nil {
		return nil, eris.Wrap(err, "read")
	}
	return out.Entries, nil
}

// Bounds gives the oldest offset kept and the next to be written.
func (l *Log) Bounds(ctx context.Context, s platform.Stream) (platform.Bounds, error) {
	var out platform.Bounds
	if err := l.call.Post(ctx, protocol.PathBounds, 0, protocol.BoundsRequest{Stream: s}, &out); err != nil {
		return platform.Bounds{}, eris.Wrap(err, "bounds")
	}
	return out, nil
}

// firstOffset turns 0, which is no offset, into the first.
func firstOffset(o model.Offset) model.Offset { return max(o, 1) }

// checkOrder refuses an answer whose offsets do not follow one another from the
// one asked for: a reader must never skip a record unawares.
func checkOrder(es []platform.Entry, from model.Offset) error {
	for i, e := range es {
		if e.Offset != from+model.Offset(i) {
			return eris.Wrapf(platform.ErrUnclear, "entry %d of the answer has offset %d, not %d", i, e.Offset, from+model.Offset(i))
		}
	}
	return nil
}
