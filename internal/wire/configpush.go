package wire

// ConfigPush offers a configuration version, or asks for the newest when Record is empty.
type ConfigPush struct {
	Version uint64 `cbor:"1,keyasint"`
	// Record is the encoded document of that version.
	Record []byte `cbor:"2,keyasint"`
}

// ConfigReply tells which version the answering process has in force.
type ConfigReply struct {
	Version uint64 `cbor:"1,keyasint"`
	// Record is set when the asker's version is older.
	Record []byte `cbor:"2,keyasint,omitempty"`
}
