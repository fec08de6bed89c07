package model

import "strconv"

// ScopeKind says what a fencing epoch guards.
type ScopeKind string

// The kinds of scope.
const (
	ScopeCell  ScopeKind = "cell"
	ScopeGroup ScopeKind = "group"
	// ScopeHost is not owned: a claim of this kind announces the start of a
	// host's process, which may be given a place in lines from then on.
	ScopeHost ScopeKind = "host"
)

// Scope is a cell or a key group: the unit that has one owner at a time.
type Scope struct {
	Kind ScopeKind `json:"kind" cbor:"1,keyasint"`
	Name string    `json:"name" cbor:"2,keyasint"`
}

// CellScope gives the scope of a cell.
func CellScope(id CellID) Scope { return Scope{Kind: ScopeCell, Name: string(id)} }

// GroupScope gives the scope of a key group.
func GroupScope(id GroupID) Scope {
	return Scope{Kind: ScopeGroup, Name: strconv.FormatUint(uint64(id), 10)}
}

// String gives kind and name, for logs.
func (s Scope) String() string { return string(s.Kind) + "/" + s.Name }
