package job

// coresPerGPU is how many cores an accelerator counts as when work is compared;
// the platform prices lost work by the same figure.
const coresPerGPU = 8

// Resources is an amount of a worker's capacity.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU   int
	MemMB int
	GPU   int
}

// Plus gives the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemMB: r.MemMB + o.MemMB, GPU: r.GPU + o.GPU}
}

// Minus gives the difference; amounts may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemMB: r.MemMB - o.MemMB, GPU: r.GPU - o.GPU}
}

// Covers says whether o fits into r.
func (r Resources) Covers(o Resources) bool {
	return r.CPU >= o.CPU && r.MemMB >= o.MemMB && r.GPU >= o.GPU
}

// Times gives n times the amount.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * n, MemMB: r.MemMB * n, GPU: r.GPU * n}
}

// Cores gives the amount in cores, with accelerators counted as cores.
func (r Resources) Cores() float64 { return float64(r.CPU)/1000 + coresPerGPU*float64(r.GPU) }
