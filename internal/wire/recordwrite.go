package wire

// RecordWrite asks another instance to append a job record to the store.
type RecordWrite struct {
	Topic string `cbor:"3,keyasint"`
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
}

// RecordWriteReply answers a RecordWrite. If neither Appended nor Refused is set,
// it is not known whether the record was appended.
type RecordWriteReply struct {
	Appended bool `cbor:"1,keyasint"`
	// Refused reports that nothing was appended.
	Refused bool   `cbor:"2,keyasint"`
	Reason  string `cbor:"3,keyasint,omitempty"`
}
