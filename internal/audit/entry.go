package audit

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"coltsfootmux/internal/config"
)

// TypeEntry is the type of records on the audit stream.
const TypeEntry = "audit.entry"

// The bounds of one entry.
const (
	// MaxChanges is the largest number of changes that an entry lists.
	MaxChanges = 200
	// MaxTextBytes is the largest size of Before and After of a change and of Why.
	MaxTextBytes = 2000
)

// Ruling is the outcome of a change.
type Ruling string

// The rulings.
const (
	Accepted Ruling = "accepted"
	Conflict Ruling = "conflict"
	Refused  Ruling = "refused"
	// Pending means that there was no ruling when the publisher was answered.
	// Another entry follows if the change turns out to be on the log.
	Pending Ruling = "pending"
)

// Entry is one attempted change.
type Entry struct {
	// ID is the same for all copies of one entry.
	ID string    `json:"id" cbor:"1,keyasint"`
	At time.Time `json:"at" cbor:"2,keyasint"`
	// Record is the id of the change's record; empty when it was never appended.
	Record string `json:"record,omitempty" cbor:"3,keyasint,omitempty"`
	Author string `json:"author" cbor:"4,keyasint"`
	// Reason is the author's reason for the change.
	Reason string `json:"reason" cbor:"5,keyasint"`
	Ruling Ruling `json:"ruling" cbor:"6,keyasint"`
	// Why explains why a change was not accepted.
	Why  string         `json:"why,omitempty" cbor:"7,keyasint,omitempty"`
	Base config.Version `json:"base" cbor:"8,keyasint"`
	// Version is the version in force after the attempt.
	Version config.Version  `json:"version" cbor:"9,keyasint"`
	Changes []config.Change `json:"changes,omitempty" cbor:"10,keyasint,omitempty"`
	// More is the number of changes that are not listed in Changes.
	More int `json:"more_changes,omitempty" cbor:"11,keyasint,omitempty"`
}

// SetChanges lists the first MaxChanges changes and counts the others. Long values
// are truncated.
func (e *Entry) SetChanges(cs []config.Change) {
	n := min(len(cs), MaxChanges)
	e.Changes = make([]config.Change, n)
	for i, c := range cs[:n] {
		e.Changes[i] = config.Change{Path: c.Path, Before: Truncate(c.Before), After: Truncate(c.After)}
	}
	e.More = len(cs) - n
}

// Truncate shortens a text to MaxTextBytes; a shortened text ends with "...".
func Truncate(s string) string {
	if len(s) <= MaxTextBytes {
		return s
	}
	const mark = "..."
	return strings.ToValidUTF8(s[:MaxTextBytes-len(mark)], "") + mark
}

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

var encMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func decode(b []byte) (Entry, error) {
	var e Entry
	err := decMode.Unmarshal(b, &e)
	return e, err
}
