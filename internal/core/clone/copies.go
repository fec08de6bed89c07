// Package clone copies graphs of objects that refer to each other by pointers.
package clone

// Copies holds the copies of the objects of one type. The zero value holds none.
type Copies[T any] struct {
	made map[*T]*T
	// unfixed holds the copies whose fields are still those of the originals. It replaces a
	// recursion, as chains of runs, units and workers are as long as the cell is large.
	unfixed []*T
	// block is where the next copies are made. Blocks of growing size need fewer
	// allocations than single objects; all copies of a core are dropped together.
	block []T
}

// maxCopyBlock is the largest number of objects in one block.
const maxCopyBlock = 256

// Of returns the copy of from, which it makes at the first call; nil for nil.
func (c *Copies[T]) Of(from *T) *T {
	if from == nil {
		return nil
	}
	if to, ok := c.made[from]; ok {
		return to
	}
	if c.made == nil {
		c.made = make(map[*T]*T)
	}
	if len(c.block) == 0 {
		c.block = make([]T, min(len(c.made)+1, maxCopyBlock))
	}
	to := &c.block[0]
	c.block = c.block[1:]
	*to = *from
	c.made[from] = to
	c.unfixed = append(c.unfixed, to)
	return to
}

// Fix calls f with the copies that were made since the last call and returns their number.
func (c *Copies[T]) Fix(f func(*T)) int {
	now := c.unfixed
	c.unfixed = nil
	for _, to := range now {
		f(to)
	}
	return len(now)
}

// Slice returns a slice of the copies; nil for nil.
func Slice[T any](from []*T, c *Copies[T]) []*T {
	if from == nil {
		return nil
	}
	to := make([]*T, len(from))
	for n, v := range from {
		to[n] = c.Of(v)
	}
	return to
}

// Values returns a map with copies of the values; nil for nil.
func Values[K comparable, T any](from map[K]*T, c *Copies[T]) map[K]*T {
	if from == nil {
		return nil
	}
	to := make(map[K]*T, len(from))
	for key, v := range from {
		to[key] = c.Of(v)
	}
	return to
}

// Keys returns a map with copies of the keys; nil for nil.
func Keys[T, V any](from map[*T]V, c *Copies[T]) map[*T]V {
	if from == nil {
		return nil
	}
	to := make(map[*T]V, len(from))
	for key, v := range from {
		to[c.Of(key)] = v
	}
	return to
}
