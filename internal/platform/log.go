package platform

import (
	"context"
	"time"

	"coltsfootmux/internal/model"
)

// Stream names an ordered stream of the log service.
type Stream string

// The streams that the system keeps.
const (
	StreamConfig   Stream = "config"
	StreamClaims   Stream = "claims"
	StreamJobs     Stream = "jobs"
	StreamOutcomes Stream = "outcomes"
	StreamAudit    Stream = "audit"
)

// Log is the platform's append-only log service. Errors wrap those of this package.
type Log interface {
	// Append adds records in order and gives the offset of the first. With
	// ErrUnclear they may be there all the same.
	Append(ctx context.Context, s Stream, recs []Record) (model.Offset, error)
	// Read gives up to max entries from an offset on, waiting up to wait for the
	// first. ErrExpired means that the offset is no longer kept.
	Read(ctx context.Context, s Stream, from model.Offset, max int, wait time.Duration) ([]Entry, error)
	// Bounds gives the oldest offset kept and the next to be written.
	Bounds(ctx context.Context, s Stream) (Bounds, error)
}

// Record is what a writer appends. Readers drop an ID they have seen.
type Record struct {
	ID   string `json:"id"`
	Type string `json:"type"`
	Data []byte `json:"data"`
}

// Entry is a record in its place.
type Entry struct {
	Offset model.Offset `json:"offset"`
	At     time.Time    `json:"at"`
	Record Record       `json:"record"`
}

// Bounds is the range of offsets that a stream keeps.
type Bounds struct {
	Oldest model.Offset `json:"oldest"`
	Next   model.Offset `json:"next"`
}
