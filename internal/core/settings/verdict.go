package settings

import (
	"time"

	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// Ruling is what became of a record.
type Ruling string

// The rulings.
const (
	// Accepted records became a version.
	RulingAccepted Ruling = "accepted"
	// Conflicting records were based on another version than the current one.
	RulingConflict Ruling = "conflict"
	// Refused records can't be decoded or applied.
	RulingRefused Ruling = "refused"
)

// Verdict is the ruling on one record; every reader gives the same.
type Verdict struct {
	Offset model.Offset
	// At is when the log service took the record.
	At time.Time
	// Record is nil when it can't be decoded.
	Record *Record
	Ruling Ruling
	Why    string
	// Version is in force after the record.
	Version config.Version
	// Before and After are the documents around an accepted record.
	Before, After *config.Document
}
