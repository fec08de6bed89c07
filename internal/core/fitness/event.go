package fitness

// Event is an input of Step.
type Event interface{ event() }

// Observed says whether many of the workers that the owner has lately tried are silent.
type Observed struct{ Poor bool }

// Probed is the result of a Probe: what the owner and its peers reach of one sample.
type Probed struct {
	Own   Reached
	Peers []Peer
}

func (Observed) event() {}
func (Probed) event()   {}

// Action is something that the caller of Step must do.
type Action interface{ action() }

// Probe asks for a Probed. The peers to ask differ with Turn.
type Probe struct{ Turn int }

// Release gives the term up to the peer at an address, which reaches more workers.
type Release struct{ Successor string }

func (Probe) action()   {}
func (Release) action() {}
