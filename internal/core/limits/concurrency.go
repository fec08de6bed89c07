package limits

// Concurrency counts what each of a set of names has open.
type Concurrency[N comparable] struct{ open map[N]int }

// NewConcurrency makes an empty count.
func NewConcurrency[N comparable]() *Concurrency[N] {
	return &Concurrency[N]{open: make(map[N]int)}
}

// Acquire opens one for the name unless bound are open.
func (c *Concurrency[N]) Acquire(name N, bound int) bool {
	if c.open[name] >= bound {
		return false
	}
	c.open[name]++
	return true
}

// Release closes one of the name. It panics when none is open.
func (c *Concurrency[N]) Release(name N) {
	switch n := c.open[name]; {
	case n == 0:
		panic("limits: release without acquire")
	case n == 1:
		delete(c.open, name)
	default:
		c.open[name] = n - 1
	}
}

// Open is how many the name has open.
func (c *Concurrency[N]) Open(name N) int { return c.open[name] }
