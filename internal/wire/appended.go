package wire

// Appended tells the owner that the store has taken a record of jobs.
type Appended struct {
	Topic string `cbor:"1,keyasint"`
	// End is the offset behind the record.
	End int64 `cbor:"2,keyasint"`
}
