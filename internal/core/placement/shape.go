package placement

import (
	"math"

	"coltsfootmux/internal/model"
)

func maxShape(a, b model.Shape) model.Shape {
	return model.Shape{
		Slots:        max(a.Slots, b.Slots),
		Accelerators: max(a.Accelerators, b.Accelerators),
		CPUMilli:     max(a.CPUMilli, b.CPUMilli),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
	}
}

func minShape(a, b model.Shape) model.Shape {
	return model.Shape{
		Slots:        min(a.Slots, b.Slots),
		Accelerators: min(a.Accelerators, b.Accelerators),
		CPUMilli:     min(a.CPUMilli, b.CPUMilli),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
	}
}

// floorShape raises negative parts to zero.
func floorShape(s model.Shape) model.Shape { return maxShape(s, model.Shape{}) }

// copies is how many times s fits into room.
func copies(s, room model.Shape) int {
	if room.Negative() {
		return 0
	}
	n := math.MaxInt32
	n = copiesOf(n, s.Slots, room.Slots)
	n = copiesOf(n, s.Accelerators, room.Accelerators)
	n = copiesOf(n, s.CPUMilli, room.CPUMilli)
	return copiesOf(n, s.MemoryMB, room.MemoryMB)
}

func copiesOf(n, part, room int) int {
	if part <= 0 {
		return n
	}
	return min(n, room/part)
}
