package model

// Class is the priority class of a piece of work.
type Class uint8

// The classes, lowest first.
const (
	ClassBatch Class = iota
	ClassNormal
	ClassUrgent
)

// String names the class as it is written in the API.
func (c Class) String() string {
	switch c {
	case ClassBatch:
		return "batch"
	case ClassUrgent:
		return "urgent"
	default:
		return "normal"
	}
}

// ParseClass reads a class name; ok is false for an unknown one. The empty
// name is ClassNormal.
func ParseClass(s string) (c Class, ok bool) {
	switch s {
	case "batch":
		return ClassBatch, true
	case "", "normal":
		return ClassNormal, true
	case "urgent":
		return ClassUrgent, true
	}
	return ClassNormal, false
}
