package wire

// Yield asks the owner of a term to leave it to the asker, a stronger machine.
type Yield struct {
	Term int64 `cbor:"1,keyasint"`
}
