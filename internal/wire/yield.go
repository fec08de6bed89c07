package wire

// Yield asks the owner of a term to release it to the sender, which runs on a
// stronger machine.
type Yield struct {
	Term int64 `cbor:"1,keyasint"`
	// Addr is the address of the instance that requests the term; empty in versions without it.
	Addr string `cbor:"2,keyasint,omitempty"`
}
