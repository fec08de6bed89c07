package wire

// ConfigPush offers a version of the configuration, or asks for the newest one if
// Record is empty.
type ConfigPush struct {
	Version uint64 `cbor:"1,keyasint"`
	// Record is the encoded settings.Update that leads to that version.
	Record []byte `cbor:"2,keyasint"`
}

// ConfigReply answers a ConfigPush with the version in force at the answering process.
type ConfigReply struct {
	Version uint64 `cbor:"1,keyasint"`
	// Record is the encoded settings.Update from the caller's version to that one, set
	// if the caller's is older.
	Record []byte `cbor:"2,keyasint,omitempty"`
}
