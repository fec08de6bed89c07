package core

import "coltsfootmux/internal/wire"

// Priority is the order in which waiting messages are sent.
type Priority uint8

// The priorities, the most urgent first.
const (
	PriorityControl Priority = iota
	PriorityNormal
	PriorityLow
	priorityCount
)

// PriorityOf returns the priority of a kind of call.
func PriorityOf(k wire.Kind) Priority {
	switch k {
	case wire.KindHeartbeat, wire.KindHandOver, wire.KindCancel:
		return PriorityControl
	case wire.KindSummary:
		return PriorityLow
	}
	return PriorityNormal
}
