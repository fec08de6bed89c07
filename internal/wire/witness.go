package wire

// WitnessAsk says what a WitnessQuery asks for.
type WitnessAsk uint8

// The questions to a witness, see package core/witness.
const (
	// AskPresence asks whether the receiver answers, and for its ID.
	AskPresence WitnessAsk = iota
	// AskPromise asks a witness of the sender's term for a promise.
	AskPromise
	// AskConsent asks a witness of another's term for its consent to a claim by the sender.
	AskConsent
	// AskOwner asks whether the owner of a term answers the receiver. Earlier versions answer as to
	// AskPresence.
	AskOwner
)

// WitnessQuery asks an instance as a witness of a term.
type WitnessQuery struct {
	Ask WitnessAsk `cbor:"1,keyasint"`
	// Term and Renewal are those of the record that names the witness.
	Term    int64 `cbor:"2,keyasint,omitempty"`
	Renewal int64 `cbor:"3,keyasint,omitempty"`
	// Witness is the ID of the incarnation that the record names.
	Witness uint64 `cbor:"4,keyasint,omitempty"`
}

// WitnessReply answers a WitnessQuery.
type WitnessReply struct {
	// ID is that of the answering incarnation.
	ID uint64 `cbor:"1,keyasint"`
	// Granted says that the receiver promises, or consents.
	Granted bool `cbor:"2,keyasint,omitempty"`
	// Contested says that an instance that the store serves wants to claim the next term.
	Contested bool `cbor:"3,keyasint,omitempty"`
	// OwnerSilent says that the owner of the term does not answer the receiver.
	OwnerSilent bool `cbor:"4,keyasint,omitempty"`
}
