package core

// The codes that a Refuse frame carries in Offset.
const (
	refusedOverloaded uint64 = 0
	refusedDraining   uint64 = 1
	refusedTooLong    uint64 = 2
)

func refusalText(code uint64) string {
	switch code {
	case refusedDraining:
		return "peer is draining"
	case refusedTooLong:
		return "request exceeds the peer's size limit"
	}
	return "peer is overloaded"
}
