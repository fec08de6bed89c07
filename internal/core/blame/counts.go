package blame

// Increment adds to a count of a map, which may be nil.
func Increment(counts *map[int]int, key, n int) {
	if *counts == nil {
		*counts = make(map[int]int)
	}
	(*counts)[key] += n
}

// Decrement subtracts 1 from a count and removes it at 0.
func Decrement(counts map[int]int, key int) {
	counts[key]--
	if counts[key] <= 0 {
		delete(counts, key)
	}
}
