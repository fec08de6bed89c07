package job

// coresPerGPU is the number of cores that a GPU counts as when amounts of work are
// compared. The platform prices lost work by the same figure.
const coresPerGPU = 8

// Resources is an amount of a worker's capacity.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU   int
	MemMB int
	GPU   int
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemMB: r.MemMB + o.MemMB, GPU: r.GPU + o.GPU}
}

// Minus returns r - o; the result may have negative amounts.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemMB: r.MemMB - o.MemMB, GPU: r.GPU - o.GPU}
}

// Covers reports whether o fits into r.
func (r Resources) Covers(o Resources) bool {
	return r.CPU >= o.CPU && r.MemMB >= o.MemMB && r.GPU >= o.GPU
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * n, MemMB: r.MemMB * n, GPU: r.GPU * n}
}

// Cores returns the amount in cores, with each GPU counted as coresPerGPU cores.
func (r Resources) Cores() float64 { return float64(r.CPU)/1000 + coresPerGPU*float64(r.GPU) }

// Max returns the larger of the two amounts of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), MemMB: max(r.MemMB, o.MemMB), GPU: max(r.GPU, o.GPU)}
}
