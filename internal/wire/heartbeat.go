package wire

import "coltsfootmux/internal/model"

// Heartbeat tells a successor that the owner of scopes lives.
type Heartbeat struct {
	From model.HostID `cbor:"1,keyasint"`
	// Claims lists the claims, by offset, that the sender owns and the receiver succeeds in.
	Claims []model.Offset `cbor:"2,keyasint"`
	// Config is the configuration version that the sender has in force.
	Config uint64 `cbor:"3,keyasint"`
}
