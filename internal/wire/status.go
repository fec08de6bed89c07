package wire

import "coltsfootmux/internal/model"

// State is where a piece of work stands.
type State string

// The states.
const (
	StateWaiting State = "waiting"
	StateRunning State = "running"
	StateEnded   State = "ended"
	StateNone    State = "none"
)

// StatusQuery asks about one key, or about an account's work when Key is empty.
type StatusQuery struct {
	Key     model.Key     `cbor:"1,keyasint"`
	Account model.Account `cbor:"2,keyasint"`
	Limit   int           `cbor:"3,keyasint"`
}

// StatusReply lists what the asked scheduler knows. Moved and Owner are as in
// SubmitReply, and are set only when one key was asked for.
type StatusReply struct {
	Items []Status     `cbor:"1,keyasint"`
	Moved bool         `cbor:"2,keyasint,omitempty"`
	Owner model.Member `cbor:"3,keyasint,omitempty"`
}

// Status is where one piece of work stands.
type Status struct {
	Key     model.Key     `cbor:"1,keyasint" json:"key"`
	Account model.Account `cbor:"2,keyasint" json:"account"`
	Kind    model.Kind    `cbor:"3,keyasint" json:"kind"`
	State   State         `cbor:"4,keyasint" json:"state"`
	// StateReason says why waiting work waits.
	StateReason string        `cbor:"5,keyasint" json:"why,omitempty"`
	Result      *model.Result `cbor:"6,keyasint" json:"result,omitempty"`
	Members     int           `cbor:"7,keyasint" json:"members"`
}
