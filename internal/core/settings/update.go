package settings

import (
	"coltsfootmux/internal/config"
	"coltsfootmux/internal/model"
)

// Update brings another host from one version to a later one: by the accepted
// records in between, or by a snapshot.
type Update struct {
	Records  []Accepted `cbor:"1,keyasint,omitempty"`
	Snapshot *Snapshot  `cbor:"2,keyasint,omitempty"`
}

// Accepted is a record that became a version.
type Accepted struct {
	Version config.Version `cbor:"1,keyasint"`
	Offset  model.Offset   `cbor:"2,keyasint"`
	Record  Record         `cbor:"3,keyasint"`
}

// Version gives the version that the update leads to; 0 when it is empty.
func (u *Update) Version() config.Version {
	if u.Snapshot != nil {
		return u.Snapshot.Version
	}
	if n := len(u.Records); n > 0 {
		return u.Records[n-1].Version
	}
	return 0
}
