package wire

import "coltsfootmux/internal/model"

// State is the state of a piece of work.
type State string

// The states of a piece of work. StateNone means that nothing is known of it.
const (
	StateWaiting State = "waiting"
	StateRunning State = "running"
	StateEnded   State = "ended"
	StateNone    State = "none"
)

// StatusQuery asks for the status of one key, or of an account's work if Key is
// empty.
type StatusQuery struct {
	Key     model.Key     `cbor:"1,keyasint"`
	Account model.Account `cbor:"2,keyasint"`
	Limit   int           `cbor:"3,keyasint"`
}

// StatusReply answers a StatusQuery. Moved and Owner are as in SubmitReply and
// are set only if the query was for one key.
type StatusReply struct {
	Items []Status     `cbor:"1,keyasint"`
	Moved bool         `cbor:"2,keyasint,omitempty"`
	Owner model.Member `cbor:"3,keyasint,omitempty"`
}

// Status is the status of one piece of work.
type Status struct {
	Key     model.Key     `cbor:"1,keyasint" json:"key"`
	Account model.Account `cbor:"2,keyasint" json:"account"`
	Kind    model.Kind    `cbor:"3,keyasint" json:"kind"`
	State   State         `cbor:"4,keyasint" json:"state"`
	// StateReason is why the work waits, or why its outcome is not known yet.
	StateReason string        `cbor:"5,keyasint" json:"why,omitempty"`
	Result      *model.Result `cbor:"6,keyasint" json:"result,omitempty"`
	Members     int           `cbor:"7,keyasint" json:"members"`
}
