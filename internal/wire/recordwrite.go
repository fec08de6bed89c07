package wire

// RecordWrite asks another instance to append a record of jobs.
type RecordWrite struct {
	Topic string `cbor:"3,keyasint"`
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
}

// RecordWriteReply answers a RecordWrite. If it is neither Done nor Refused, the
// record may have been appended.
type RecordWriteReply struct {
	Appended bool `cbor:"1,keyasint"`
	// Refused means that nothing was appended.
	Refused bool   `cbor:"2,keyasint"`
	Reason  string `cbor:"3,keyasint,omitempty"`
}
