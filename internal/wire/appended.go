package wire

// Appended tells the owner that the store has accepted a job record.
type Appended struct {
	Topic string `cbor:"1,keyasint"`
	// End is the offset after the record.
	End int64 `cbor:"2,keyasint"`
}
