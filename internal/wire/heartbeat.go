package wire

import "coltsfootmux/internal/model"

// Heartbeat tells a successor that the owner of some scopes is alive.
type Heartbeat struct {
	From model.HostID `cbor:"1,keyasint"`
	// Claims are the offsets of the sender's claims for which the receiver is a
	// successor.
	Claims []model.Offset `cbor:"2,keyasint"`
	// Config is the version of the configuration in force at the sender.
	Config uint64 `cbor:"3,keyasint"`
}
