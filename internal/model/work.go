package model

import "time"

// Work is a request or a job as accepted from a caller. A request is a job with
// one member whose caller waits for the answer.
type Work struct {
	Key     Key     `json:"key" cbor:"1,keyasint"`
	Account Account `json:"account" cbor:"2,keyasint"`
	Kind    Kind    `json:"kind" cbor:"3,keyasint"`
	Class   Class   `json:"class" cbor:"4,keyasint"`
	// Idempotent work may be tried again; other work is started at most once.
	Idempotent bool `json:"idempotent" cbor:"5,keyasint"`
	// Deadline is when the caller stops waiting for a start-to-end result.
	Deadline time.Time `json:"deadline" cbor:"6,keyasint"`
	// Submitted is when the first entry host accepted it.
	Submitted time.Time `json:"submitted" cbor:"7,keyasint"`
	// Members is the gang size; 1 for single work.
	Members int `json:"members" cbor:"8,keyasint"`
	// Shape is what each member needs.
	Shape     Shape     `json:"shape" cbor:"9,keyasint"`
	Adjacency Adjacency `json:"adjacency" cbor:"10,keyasint"`
	// Preemptible work can be checkpointed or stopped, and may borrow guaranteed capacity.
	Preemptible bool `json:"preemptible" cbor:"11,keyasint"`
	// DeclaredRun is the caller's guess of its run time; it may be far off.
	DeclaredRun time.Duration `json:"declared_run" cbor:"12,keyasint"`
	// Detached work outlives its caller's connection (a job).
	Detached bool `json:"detached" cbor:"13,keyasint"`
	// Body is handed to the task.
	Body []byte `json:"body" cbor:"14,keyasint"`
	// Home is the region of the entry host that accepted it.
	Home Region `json:"home" cbor:"15,keyasint"`
}

// Total gives the shape of all members together.
func (w *Work) Total() Shape { return w.Shape.Times(w.Members) }
