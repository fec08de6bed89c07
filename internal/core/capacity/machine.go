package capacity

import (
	"math"
	"time"
)

// Machine is what a process may use of its machine. A figure that is not known is 0.
type Machine struct {
	// Cores is the number of processor cores, or the share of one.
	Cores float64 `cbor:"1,keyasint,omitempty"`
	// LinkMbps is the rate of the network link in Mbit/s.
	LinkMbps float64 `cbor:"2,keyasint,omitempty"`
	// MemoryMB is the memory in MiB.
	MemoryMB float64 `cbor:"3,keyasint,omitempty"`
}

// Claim delay of a machine that knows of no other.
const (
	// undelayedCores is the share of a core from which on claims are not delayed.
	undelayedCores = 0.4
	// maxLoneDelay is the limit of the delay as the share of a core approaches 0.
	maxLoneDelay = time.Second
)

// LoneClaimDelay returns how much later than StaleAfter the machine claims a term while it knows of no
// other machine.
func (m Machine) LoneClaimDelay() time.Duration {
	if m.Cores <= 0 || m.Cores >= undelayedCores {
		return 0
	}
	return time.Duration((1 - m.Cores/undelayedCores) * float64(maxLoneDelay))
}

// Known reports whether the machine can be ranked.
func (m Machine) Known() bool { return isKnown(m.Cores) }

func isKnown(figure float64) bool { return figure > 0 && !math.IsInf(figure, 1) }
