package model

// Shape is an amount of a worker's resources.
type Shape struct {
	// Slots is the number of task slots.
	Slots int `json:"slots" yaml:"slots" cbor:"1,keyasint" validate:"gte=0"`
	// Accelerators is the number of whole accelerators.
	Accelerators int `json:"accelerators" yaml:"accelerators" cbor:"2,keyasint" validate:"gte=0"`
	// CPUMilli is processor time in thousandths of a core.
	CPUMilli int `json:"cpu_milli" yaml:"cpuMilli" cbor:"3,keyasint" validate:"gte=0"`
	// MemoryMB is memory in MiB.
	MemoryMB int `json:"memory_mb" yaml:"memoryMB" cbor:"4,keyasint" validate:"gte=0"`
}

// Add gives the sum of two shapes.
func (s Shape) Add(o Shape) Shape {
	s.Slots += o.Slots
	s.Accelerators += o.Accelerators
	s.CPUMilli += o.CPUMilli
	s.MemoryMB += o.MemoryMB
	return s
}

// Sub gives s less o; parts may become negative.
func (s Shape) Sub(o Shape) Shape { return s.Add(o.Times(-1)) }

// Times gives the shape n times over.
func (s Shape) Times(n int) Shape {
	s.Slots *= n
	s.Accelerators *= n
	s.CPUMilli *= n
	s.MemoryMB *= n
	return s
}

// Fits reports whether s fits into room.
func (s Shape) Fits(room Shape) bool {
	return s.Slots <= room.Slots &&
		s.Accelerators <= room.Accelerators &&
		s.CPUMilli <= room.CPUMilli &&
		s.MemoryMB <= room.MemoryMB
}

// IsZero reports whether the shape asks for nothing.
func (s Shape) IsZero() bool { return s == Shape{} }

// Negative reports whether any part is below zero.
func (s Shape) Negative() bool {
	return s.Slots < 0 || s.Accelerators < 0 || s.CPUMilli < 0 || s.MemoryMB < 0
}
