package model

// Worker is one worker as the configuration states it.
type Worker struct {
	ID WorkerID `json:"id" yaml:"id" cbor:"1,keyasint" validate:"required"`
	// Addr is the IP address and port of its task interface.
	Addr     string `json:"addr" yaml:"addr" cbor:"2,keyasint" validate:"required"`
	Capacity Shape  `json:"capacity" yaml:"capacity" cbor:"3,keyasint"`
}
