package core

import "coltsfootmux/internal/wire"

// Lane orders what waits to be sent.
type Lane uint8

// The lanes, the most urgent first.
const (
	LaneControl Lane = iota
	LaneNormal
	LaneLow
	laneCount
)

// LaneOf gives the lane of a kind of call.
func LaneOf(k wire.Kind) Lane {
	switch k {
	case wire.KindHeartbeat, wire.KindHandOver, wire.KindCancel:
		return LaneControl
	case wire.KindSummary:
		return LaneLow
	}
	return LaneNormal
}
