package core

// The codes that a Refuse frame carries in its Offset.
const (
	refusedOverloaded uint64 = 0
	refusedDraining   uint64 = 1
	refusedTooLong    uint64 = 2
)

func refusalText(code uint64) string {
	switch code {
	case refusedDraining:
		return "far side is draining"
	case refusedTooLong:
		return "request over the far side's limit"
	}
	return "far side is overloaded"
}
