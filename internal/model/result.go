package model

import "time"

// Result is what a caller is told about its own request or job.
type Result struct {
	Key     Key     `json:"key" cbor:"1,keyasint"`
	Outcome Outcome `json:"outcome" cbor:"2,keyasint"`
	Reason  Reason  `json:"reason" cbor:"3,keyasint"`
	// Answer is the whole answer; set only with OutcomeDone.
	Answer []byte `json:"answer,omitempty" cbor:"4,keyasint,omitempty"`
	// Failed says that the task ran to its end and reported failure.
	Failed bool `json:"failed,omitempty" cbor:"5,keyasint,omitempty"`
	// RetryAfter tells a caller when to come back; zero when there is no point.
	RetryAfter time.Duration `json:"retry_after,omitempty" cbor:"6,keyasint,omitempty"`
}
