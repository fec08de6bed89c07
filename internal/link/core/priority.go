package core

import "coltsfootmux/internal/wire"

// Priority orders what waits to be sent.
type Priority uint8

// The lanes, the most urgent first.
const (
	PriorityControl Priority = iota
	PriorityNormal
	PriorityLow
	priorityCount
)

// PriorityOf gives the lane of a kind of call.
func PriorityOf(k wire.Kind) Priority {
	switch k {
	case wire.KindHeartbeat, wire.KindHandOver, wire.KindCancel:
		return PriorityControl
	case wire.KindSummary:
		return PriorityLow
	}
	return PriorityNormal
}
