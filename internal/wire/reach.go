package wire

// ReachQuery asks an instance which of some workers it reaches.
type ReachQuery struct {
	Workers []ReachTarget `cbor:"1,keyasint"`
}

// ReachTarget is a worker to be probed, by ID and address.
type ReachTarget struct {
	ID   string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"`
}

// ReachReply answers a ReachQuery.
type ReachReply struct {
	// Reached has bit n set if the n-th worker of the query has answered.
	Reached uint32 `cbor:"1,keyasint"`
}
